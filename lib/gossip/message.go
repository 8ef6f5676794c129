package gossip

import (
	"time"

	"savorygap.example/lib/document"
	"savorygap.example/lib/member"
)

// Message is what one node tells another over a link: a closed union of which
// exactly one part is set.
type Message struct {
	hello    *Hello
	ping     *Ping
	claims   []member.Record
	buckets  *BucketDigests
	referral []member.Record
	request  *DeltaRequest
	delta    *document.Delta
	probe    *Probe
	verdict  *ProbeResult
}

// Hello opens a link.
type Hello struct {
	claim    member.Record
	digest   uint64
	known    int
	revision document.Revision
}

// Ping is sent by the node that dialled the link and echoed by the other.
type Ping struct {
	echo     bool
	sequence uint64
	digest   uint64
	revision document.Revision
}

// BucketDigests carries the digests of a view; the receiver answers with the claims
// in which its own view differs.
type BucketDigests struct {
	digests member.Digests
	answer  bool
}

// DeltaRequest asks for what leads from a revision to the newest.
type DeltaRequest struct {
	have document.Revision
}

// Probe asks a peer to reach a third node.
type Probe struct {
	name   string
	target string
}

// ProbeResult answers a Probe.
type ProbeResult struct {
	name  string
	alive bool
}

const (
	maxClaimsPerMessage = 256
	probeTimeout        = 500 * time.Millisecond
)

// HelloMessage returns a message that opens a link: the sender's own claim,
// the digest of its view, the number of nodes in it and its revision.
func HelloMessage(claim member.Record, digest uint64, known int, revision document.Revision) Message {
	return Message{hello: &Hello{claim: claim, digest: digest, known: known, revision: revision}}
}

// PingMessage returns a ping or its echo.
func PingMessage(echo bool, sequence, digest uint64, revision document.Revision) Message {
	return Message{ping: &Ping{echo: echo, sequence: sequence, digest: digest, revision: revision}}
}

// RecordsMessage returns a message with claims.
func RecordsMessage(claims []member.Record) Message { return Message{claims: claims} }

// DeltaMessage returns a message with a change of configuration.
func DeltaMessage(d document.Delta) Message { return Message{delta: &d} }

// Records returns the claims that the message carries.
func (m Message) Records() []member.Record { return m.claims }

// Delta returns the change of configuration that the message carries.
func (m Message) Delta() (document.Delta, bool) {
	if m.delta == nil {
		return document.Delta{}, false
	}
	return *m.delta, true
}

// splitClaims returns messages of bounded size.
func splitClaims(claims []member.Record) []Message {
	var out []Message
	for len(claims) > 0 {
		n := min(len(claims), maxClaimsPerMessage)
		out = append(out, Message{claims: claims[:n]})
		claims = claims[n:]
	}
	return out
}
