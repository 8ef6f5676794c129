package link_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"

	"savorygap.example/lib/limiter"
	"savorygap.example/lib/link"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/quota"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/upstream"
)

// Frame types of quotas.
const (
	quotaRequest = 18
	quotaGrant   = 19
)

// quotaEnd is an end of a link that passes questions and answers to channels.
type quotaEnd struct {
	link      *link.Link
	questions chan quota.Question
	answers   chan quota.Answer
	silences  chan bool
}

func newQuotaEnd(ctx context.Context, conn net.Conn, peer string, clock clockwork.Clock) *quotaEnd {
	e := &quotaEnd{questions: make(chan quota.Question, 8), answers: make(chan quota.Answer, 8), silences: make(chan bool, 8)}
	handler := link.NewHandler(func(limiter.Key, upstream.SlotRequest, func(upstream.Event)) {}, func(limiter.Key) {}, func(limiter.Key, *upstream.Request) {},
		func(limiter.Key) {}, func(uint64) {}, upstream.NewBodyMemory(testBodyMemory), upstream.NewBodyMemory(testBodyMemory))
	hooks := link.NewHooks(func(*link.Link, link.Hello) {}, func(*link.Link, link.ServerState) {}, func(*link.Link, link.Versions) {}, func(*link.Link, link.Signal) {},
		func([]registry.Record) {}, func([]registry.Record) {}, func([]quarantine.Record) {}, func(*link.Link, link.Snapshot) {},
		func(_ *link.Link, silent bool) { e.silences <- silent }, func(*link.Link, error) {}).
		WithQuotas(func(_ *link.Link, q quota.Question) { e.questions <- q }, func(_ *link.Link, a quota.Answer) { e.answers <- a })
	e.link = link.New(conn, nil, 1, peer, handler, hooks, clock)
	go e.link.Run(ctx)
	return e
}

func TestQuotaQuestionAndAnswerAreTransferred(t *testing.T) {
	dialled, accepted := connect(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, b := newQuotaEnd(ctx, dialled, "b", clockwork.NewRealClock()), newQuotaEnd(ctx, accepted, "a", clockwork.NewRealClock())
	q := quota.NewQuestion(1<<40, "hule930", 3, 12, true).WithLimit(257, 250)
	must.True(t, a.link.AskQuota(q))
	must.Eq(t, q, <-b.questions)
	answer := quota.NewAnswer(1<<40, 7, 25*time.Millisecond, true)
	b.link.SendQuotaAnswer(answer)
	must.Eq(t, answer, <-a.answers)
}

// TestQuotaQuestionToSilentPeer_LinkBecomesSilent guards against an owner that is cut off
// and is asked for as long as no other message is due.
func TestQuotaQuestionToSilentPeer_LinkBecomesSilent(t *testing.T) {
	dialled, accepted := connect(t)
	defer func() { must.NoError(t, accepted.Close()) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := newQuotaEnd(ctx, dialled, "b", clockwork.NewRealClock())
	must.True(t, a.link.AskQuota(quota.NewQuestion(1, "hule930", 1, 1, false)))
	select {
	case silent := <-a.silences:
		must.True(t, silent)
	case <-time.After(3 * time.Second):
		t.Fatal("the link did not become silent")
	}
}

// TestQuotaQuestionToAnOlderRelease_LinkStays guards against a link that is given up since
// the peer does not know questions about quotas.
func TestQuotaQuestionToAnOlderRelease_LinkStays(t *testing.T) {
	dialled, accepted := connect(t)
	defer func() { must.NoError(t, accepted.Close()) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := newQuotaEnd(ctx, dialled, "b", clockwork.NewRealClock())
	go func() {
		const ping, pong = 9, 10
		for r := bufio.NewReader(accepted); ; {
			frameType, _, err := link.ReadFrame(r)
			if err != nil {
				return
			}
			if frameType == ping {
				_, _ = accepted.Write([]byte{pong, 0, 0, 0, 0})
			}
		}
	}()
	for range 30 {
		must.True(t, a.link.AskQuota(quota.NewQuestion(1, "hule930", 1, 1, false)))
		time.Sleep(50 * time.Millisecond)
	}
	must.Eq(t, 0, len(a.silences))
}

// TestQuotaFrames_NumbersOfAnySizeAreBounded guards against a peer that asks for, or
// grants, so many credits that sums of them overflow.
func TestQuotaFrames_NumbersOfAnySizeAreBounded(t *testing.T) {
	var payload []byte
	for field := protowire.Number(1); field <= 5; field++ {
		payload = protowire.AppendVarint(protowire.AppendTag(payload, field, protowire.VarintType), 1<<63)
	}
	for _, frameType := range []byte{quotaRequest, quotaGrant} {
		m, known, err := link.Decode(frameType, payload)
		must.NoError(t, err)
		must.True(t, known)
		must.LessEq(t, 64, len(link.Encode(m)))
	}
}

func FuzzDecodeQuota(f *testing.F) {
	f.Add(byte(quotaRequest), []byte{0x08, 0x01, 0x12, 0x01, 'a', 0x18, 0x02, 0x20, 0x09, 0x28, 0x01})
	f.Add(byte(quotaGrant), []byte{0x08, 0x01, 0x10, 0x03, 0x18, 0x90, 0x4e, 0x20, 0x01})
	f.Add(byte(quotaGrant), []byte{0x10, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add(byte(quotaRequest), []byte{0x12, 0x7f})
	f.Fuzz(func(t *testing.T, frameType byte, payload []byte) {
		m, known, err := link.Decode(frameType, payload)
		if err != nil || !known || frameType != quotaRequest && frameType != quotaGrant {
			return
		}
		frame := link.Encode(m)
		again, known, err := link.Decode(frame[0], frame[5:])
		must.NoError(t, err)
		must.True(t, known)
		must.Eq(t, frame, link.Encode(again))
	})
}
