package link

import "savorygap.example/lib/quarantine"

// tell is a message whose handling by the peer is awaited. The peer has handled it when it
// has replied to as many pings as had been sent with it, since it handles messages in order.
type tell struct {
	ping    uint64
	handled chan<- struct{}
}

type tellCommand struct {
	records []quarantine.Record
	handled chan<- struct{}
}

// TellSuspicions sends what this node has seen of requests under which servers ended. The
// channel, which must have room, receives an element when the peer has handled it or the
// link has ended. It never blocks.
func (l *Link) TellSuspicions(records []quarantine.Record, handled chan<- struct{}) {
	c := command{tell: &tellCommand{records: records, handled: handled}}
	if l.inbox.TrySend(c) {
		l.dropTellsIfEnded()
		return
	}
	go func() {
		if !l.inbox.Send(c) {
			handled <- struct{}{}
			return
		}
		l.dropTellsIfEnded()
	}()
}

// dropTellsIfEnded ends the tells in the inbox if the link has ended. The inbox may take a
// message at the moment at which the link ends, so both the sender and the link check.
func (l *Link) dropTellsIfEnded() {
	select {
	case <-l.inbox.Done():
	default:
		return
	}
	for {
		select {
		case c := <-l.inbox.Messages():
			if c.tell != nil {
				c.tell.handled <- struct{}{}
			}
		default:
			return
		}
	}
}

// handleTell sends the records and a ping in one piece, so that nothing comes between them.
func (l *Link) handleTell(c *tellCommand) {
	l.pingsSent++
	l.tells = append(l.tells, tell{ping: l.pingsSent, handled: c.handled})
	l.enqueue(append(Encode(Message{suspicions: c.records}), Encode(Message{ping: true})...))
	l.expectReply()
}

func (l *Link) handlePong() {
	l.pongsReceived++
	for len(l.tells) > 0 && l.tells[0].ping <= l.pongsReceived {
		l.tells[0].handled <- struct{}{}
		l.tells = l.tells[1:]
	}
}
