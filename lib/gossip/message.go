package gossip

import (
	"time"

	"savorygap.example/lib/document"
	"savorygap.example/lib/member"
)

// Message is a control message between two linked nodes: a closed union of which
// exactly one field is set.
type Message struct {
	hello         *Hello
	ping          *Ping
	records       []member.Record
	bucketDigests *BucketDigests
	referral      []member.Record
	deltaRequest  *DeltaRequest
	delta         *document.Delta
	probe         *Probe
	probeResult   *ProbeResult
}

// Hello is the first message of the node that dialled a link.
type Hello struct {
	record     member.Record
	digest     uint64
	knownNodes int
	revision   document.Revision
}

// Ping is sent by the node that dialled the link and echoed by the other. Both
// directions carry the digest of the sender's membership table and the revision
// of its configuration.
type Ping struct {
	echo     bool
	sequence uint64
	digest   uint64
	revision document.Revision
}

// BucketDigests carries the bucket digests of the sender's membership table. The
// receiver responds with the records of the buckets in which its table differs.
type BucketDigests struct {
	digests member.Digests
	reply   bool
}

// DeltaRequest asks for the changes of the configuration after a revision.
type DeltaRequest struct {
	have document.Revision
}

// Probe asks a peer to check whether a third node is reachable at an address.
type Probe struct {
	name    string
	address string
}

// ProbeResult responds to a Probe.
type ProbeResult struct {
	name      string
	reachable bool
}

const (
	maxRecordsPerMessage     = 256
	reachabilityCheckTimeout = 500 * time.Millisecond
)

// HelloMessage returns a message that opens a link: the sender's own record, the
// digest of its membership table, the number of nodes in it, and the revision of
// its configuration.
func HelloMessage(record member.Record, digest uint64, knownNodes int, revision document.Revision) Message {
	return Message{hello: &Hello{record: record, digest: digest, knownNodes: knownNodes, revision: revision}}
}

// PingMessage returns a ping or its echo.
func PingMessage(echo bool, sequence, digest uint64, revision document.Revision) Message {
	return Message{ping: &Ping{echo: echo, sequence: sequence, digest: digest, revision: revision}}
}

// RecordsMessage returns a message with membership records.
func RecordsMessage(records []member.Record) Message { return Message{records: records} }

// DeltaMessage returns a message with a configuration delta.
func DeltaMessage(d document.Delta) Message { return Message{delta: &d} }

// Records returns the membership records in the message.
func (m Message) Records() []member.Record { return m.records }

// Delta returns the configuration delta in the message, if there is one.
func (m Message) Delta() (document.Delta, bool) {
	if m.delta == nil {
		return document.Delta{}, false
	}
	return *m.delta, true
}

// splitRecords distributes records over messages of at most
// maxRecordsPerMessage.
func splitRecords(records []member.Record) []Message {
	var out []Message
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerMessage)
		out = append(out, Message{records: records[:n]})
		records = records[n:]
	}
	return out
}
