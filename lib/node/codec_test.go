package node_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/document"
	"savorygap.example/lib/field"
	"savorygap.example/lib/load"
	"savorygap.example/lib/node"
)

func TestDecodeCall_RestoresFieldsAndSkipsUnknownOnes(t *testing.T) {
	c := call(77).WithPriority(document.ClassUpload, 4, true, true).WithRevision(9).
		WithKey("k", time.UnixMilli(1_700_000_000_123)).WithExpectContinue()
	b := field.AppendString(node.EncodeCall(c), 900, "from a newer node")
	got, err := node.DecodeCall(b)
	must.NoError(t, err)
	must.Eq(t, c.Header(), got.Header())
	must.Eq(t, c.Class(), got.Class())
	must.Eq(t, c.Depth(), got.Depth())
	must.Eq(t, c.Length(), got.Length())
	must.Eq(t, c.Timeout(), got.Timeout())
	must.Eq(t, c.KeyCreated(), got.KeyCreated())
	must.Eq(t, c.Revision(), got.Revision())
	must.True(t, got.ExpectContinue() && got.Short() && got.FailFast())
	must.False(t, got.Fence())
}

func TestDecodeHeadAndEnd_RestoreFields(t *testing.T) {
	report := load.NewReport(12, 3, 2, 1500*time.Microsecond).WithFailing(true)
	h, err := node.DecodeHead(node.EncodeHead(node.NewHead(201, http.Header{"A": {"b"}}, -1, report)))
	must.NoError(t, err)
	must.Eq(t, -1, h.Length())
	must.Eq(t, report.Latency(), h.Report().Latency())
	must.True(t, h.Report().Failing())
	e, err := node.DecodeEnd(node.EncodeEnd(node.NewEnd(5, 1<<63, http.Header{"T": {"u"}}, report)))
	must.NoError(t, err)
	must.Eq(t, uint64(1<<63), e.Digest())
	must.Eq(t, "u", e.Trailer().Get("T"))
}

func TestDecodeCall_RejectsMalformedMessages(t *testing.T) {
	for _, b := range [][]byte{nil, {0x0a}, {0x0a, 0x05, 'x'}, {0xff, 0xff, 0xff}, {0x3a, 0x02, 0x0a, 0x7f}} {
		_, err := node.DecodeCall(b)
		var malformed *field.MalformedError
		must.True(t, errors.As(err, &malformed), must.Sprintf("got error %v, want %T", err, malformed))
	}
}

func FuzzDecodeCall(f *testing.F) {
	f.Add(node.EncodeCall(call(3).WithKey("k", time.UnixMilli(5))))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := node.DecodeCall(b)
		if err != nil {
			return
		}
		reencoded, err := node.DecodeCall(node.EncodeCall(c))
		must.NoError(t, err)
		must.Eq(t, c.Length(), reencoded.Length())
		must.Eq(t, c.Service(), reencoded.Service())
	})
}

func FuzzDecodeResponses(f *testing.F) {
	f.Add(node.EncodeHead(node.NewHead(200, http.Header{"A": {"b"}}, 4, load.Report{})))
	f.Add(node.EncodeEnd(node.NewEnd(5, 6, nil, load.Report{})))
	f.Add(node.EncodeRefusal(node.NewRefusal("busy", true)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, err := node.DecodeHead(b); err == nil {
			_, err := node.DecodeHead(node.EncodeHead(h))
			must.NoError(t, err)
		}
		if e, err := node.DecodeEnd(b); err == nil {
			_, err := node.DecodeEnd(node.EncodeEnd(e))
			must.NoError(t, err)
		}
		if r, err := node.DecodeRefusal(b); err == nil {
			_, err := node.DecodeRefusal(node.EncodeRefusal(r))
			must.NoError(t, err)
		}
		if failure, err := node.DecodeFailure(b); err == nil {
			_, err := node.DecodeFailure(node.EncodeFailure(failure))
			must.NoError(t, err)
		}
	})
}
