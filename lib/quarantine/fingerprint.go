package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"savorygap.example/lib/upstream"
)

// maxHashedBody is how many bytes of a body a fingerprint covers, besides its length.
const maxHashedBody = 4 << 10

// Fingerprint identifies a request across attempts of its caller.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *upstream.Request) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{r.Method(), r.Host(), r.URI()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(r.Body())))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(r.Body()[:min(len(r.Body()), maxHashedBody)])
	return Fingerprint(digest.Sum64())
}
