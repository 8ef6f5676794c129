package fleet

import (
	"net"

	"savorygap.example/lib/link"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/task"
)

// message is a closed union; exactly one field is set. fetch, busy and stopping hold the
// link that received the signal.
type message struct {
	update       *registry.Update
	accepted     *acceptedConn
	dialled      *dialResult
	hello        *helloMessage
	serverState  *serverStateMessage
	versions     *versionsMessage
	watch        *registry.WatchPhase
	fetch        *link.Link
	busy         *link.Link
	members      []registry.Record
	roster       []registry.Record
	departures   []registry.Record
	departure    *departureMessage
	suspicions   []quarantine.Record
	tell         *tellMessage
	rollout      *rollout.Message
	snapshot     *snapshotMessage
	silence      *silenceMessage
	ended        *linkEnded
	stopDialling bool
	stopping     *link.Link
	dump         task.Reply[Dump]
}

type tellMessage struct {
	records []quarantine.Record
	told    func()
}

type acceptedConn struct {
	conn  net.Conn
	hello link.Hello
	build func(id uint64) *link.Link
}

type dialResult struct {
	node string
	conn net.Conn
	err  error
}

type helloMessage struct {
	link  *link.Link
	hello link.Hello
}

type serverStateMessage struct {
	link        *link.Link
	serverState link.ServerState
}

type versionsMessage struct {
	link     *link.Link
	versions link.Versions
}

type snapshotMessage struct {
	link     *link.Link
	snapshot link.Snapshot
}

// departureMessage is the departure of the server on this host. The reply holds the
// links over which the peers are told.
type departureMessage struct {
	record registry.Record
	reply  task.Reply[[]*link.Link]
}

// silenceMessage reports that the peer of a link has become silent, or is heard
// again.
type silenceMessage struct {
	link   *link.Link
	silent bool
}

type linkEnded struct {
	link *link.Link
	err  error
}
