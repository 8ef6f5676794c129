package node

import (
	"bufio"
	"time"

	"github.com/cespare/xxhash/v2"
)

// streamBuffer is the buffer size in bytes. It holds a whole body frame, which
// is then sent in one write.
const streamBuffer = maxBodyFrame + frameHeaderLen

// Stream is an ordered byte stream to a peer that carries one call at a time.
// Its function fields abstract from TCP and QUIC.
type Stream struct {
	read       func([]byte) (int, error)
	write      func([]byte) (int, error)
	close      func()
	closeWrite func() error
	checkIdle  func() error
	peerName   string
	reusable   bool
	reader     *bufio.Reader
	writer     *bufio.Writer
	buffer     []byte
	idleSince  time.Time
}

// StreamFuncs are the operations of the transport under a Stream.
type StreamFuncs struct {
	read       func([]byte) (int, error)
	write      func([]byte) (int, error)
	close      func()
	closeWrite func() error
	checkIdle  func() error
	reusable   bool
}

// NewStreamFuncs returns the operations of a stream: read and write transfer
// bytes, closeBoth ends both directions at once, closeWrite ends the sending
// direction cleanly, and checkIdle returns an error if an idle stream is no
// longer usable. A reusable stream may carry further calls.
func NewStreamFuncs(read, write func([]byte) (int, error), closeBoth func(), closeWrite, checkIdle func() error, reusable bool) StreamFuncs {
	return StreamFuncs{read: read, write: write, close: closeBoth, closeWrite: closeWrite, checkIdle: checkIdle, reusable: reusable}
}

// NewStream returns a stream to the peer whose certificate carries the name.
func NewStream(peerName string, funcs StreamFuncs) *Stream {
	s := &Stream{
		read: funcs.read, write: funcs.write, close: funcs.close, closeWrite: funcs.closeWrite, checkIdle: funcs.checkIdle,
		peerName: peerName, reusable: funcs.reusable,
	}
	s.reader = bufio.NewReaderSize(readerFunc(funcs.read), streamBuffer)
	s.writer = bufio.NewWriterSize(writerFunc(funcs.write), streamBuffer)
	return s
}

// PeerName returns the name in the peer's certificate.
func (s *Stream) PeerName() string { return s.peerName }

// Close ends both directions at once.
func (s *Stream) Close() { s.close() }

// nextFrame reads a frame. Its payload is valid until the next call.
func (s *Stream) nextFrame() (frameType, []byte, error) {
	t, payload, buffer, err := readFrame(s.reader, s.buffer)
	s.buffer = buffer
	return t, payload, err
}

func (s *Stream) send(t frameType, payload []byte) error {
	return writeFrame(s.writer, t, payload)
}

func (s *Stream) sendAndFlush(t frameType, payload []byte) error {
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

// bodyDigest computes the length and the xxHash64 of a body.
type bodyDigest struct {
	length uint64
	hash   *xxhash.Digest
}

func newBodyDigest() bodyDigest { return bodyDigest{hash: xxhash.New()} }

func (d *bodyDigest) add(p []byte) {
	d.length += uint64(len(p))
	_, _ = d.hash.Write(p)
}

func (d *bodyDigest) matches(e End) bool {
	return d.length == e.length && d.hash.Sum64() == e.digest
}
