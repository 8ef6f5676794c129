package node

import (
	"bufio"
	"time"

	"github.com/cespare/xxhash/v2"
)

// streamBuffer takes a whole body frame in bytes, which is then one write.
const streamBuffer = maxBodyFrame + frameHeaderLen

// Stream is an ordered byte stream to a peer that carries one call at a time.
// Its function fields hide whether TCP or QUIC is below.
type Stream struct {
	read     func([]byte) (int, error)
	write    func([]byte) (int, error)
	close    func()
	finish   func() error
	quiet    func() error
	peerName string
	reusable bool
	reader   *bufio.Reader
	writer   *bufio.Writer
	buffer   []byte
	idleAt   time.Time
}

// StreamFuncs are the seams of a Stream.
type StreamFuncs struct {
	read     func([]byte) (int, error)
	write    func([]byte) (int, error)
	close    func()
	finish   func() error
	quiet    func() error
	reusable bool
}

// NewStreamFuncs returns the parts of a stream: read and write move bytes,
// closing ends both directions at once, finish ends the sending direction
// cleanly, and quiet tells whether an idle stream is still sound. A reusable
// stream may carry further calls.
func NewStreamFuncs(read, write func([]byte) (int, error), closing func(), finish, quiet func() error, reusable bool) StreamFuncs {
	return StreamFuncs{read: read, write: write, close: closing, finish: finish, quiet: quiet, reusable: reusable}
}

// NewStream returns a stream to the peer with the name in its certificate.
func NewStream(peerName string, p StreamFuncs) *Stream {
	s := &Stream{
		read: p.read, write: p.write, close: p.close, finish: p.finish, quiet: p.quiet,
		peerName: peerName, reusable: p.reusable,
	}
	s.reader = bufio.NewReaderSize(readerFunc(p.read), streamBuffer)
	s.writer = bufio.NewWriterSize(writerFunc(p.write), streamBuffer)
	return s
}

// PeerName returns the name in the peer's certificate.
func (s *Stream) PeerName() string { return s.peerName }

// Close ends both directions at once.
func (s *Stream) Close() { s.close() }

func (s *Stream) next() (frameType, []byte, error) {
	t, payload, buffer, err := readFrame(s.reader, s.buffer)
	s.buffer = buffer
	return t, payload, err
}

func (s *Stream) send(t frameType, payload []byte) error {
	return writeFrame(s.writer, t, payload)
}

func (s *Stream) sendNow(t frameType, payload []byte) error {
	if err := s.send(t, payload); err != nil {
		return err
	}
	return s.writer.Flush()
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

type writerFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// tally counts and hashes the bytes of a body.
type tally struct {
	length uint64
	hash   *xxhash.Digest
}

func newTally() tally { return tally{hash: xxhash.New()} }

func (t *tally) add(p []byte) {
	t.length += uint64(len(p))
	_, _ = t.hash.Write(p)
}

func (t *tally) matches(e End) bool {
	return t.length == e.length && t.hash.Sum64() == e.digest
}
