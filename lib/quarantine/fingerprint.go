package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"savorygap.example/lib/upstream"
)

// maxHashedBody is how many bytes of a body a fingerprint covers, besides its length.
const maxHashedBody = 4 << 10

// Fingerprint identifies a request across attempts of its caller.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. The hash is one for which no caller
// can make another request that has the same.
func FingerprintOf(r *upstream.Request) Fingerprint {
	digest := sha256.New()
	for _, part := range [...]string{r.Method(), r.Host(), r.URI()} {
		_, _ = io.WriteString(digest, part)
		_, _ = digest.Write([]byte{0})
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(r.Body())))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(r.Body()[:min(len(r.Body()), maxHashedBody)])
	var sum [sha256.Size]byte
	return Fingerprint(binary.LittleEndian.Uint64(digest.Sum(sum[:0])))
}
