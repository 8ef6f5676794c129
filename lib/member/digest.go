package member

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// NumBuckets is the number of digests into which a view is divided.
const NumBuckets = 64

// Digests holds one digest for each bucket of a view. Two views with the same
// digests are the same.
type Digests [NumBuckets]uint64

// Digests returns the digests of the view.
func (t *Table) Digests() Digests { return t.digests }

// Digest returns one digest of the whole view.
func (t *Table) Digest() uint64 {
	d := xxhash.New()
	var b [8]byte
	for _, bucket := range t.digests {
		binary.LittleEndian.PutUint64(b[:], bucket)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// DifferingBuckets returns the buckets in which other differs from the view.
func (t *Table) DifferingBuckets(other Digests) []int {
	var out []int
	for i := range t.digests {
		if t.digests[i] != other[i] {
			out = append(out, i)
		}
	}
	return out
}

// RecordsInBuckets returns the claims in the given buckets.
func (t *Table) RecordsInBuckets(buckets []int) []Record {
	wanted := map[int]bool{}
	for _, b := range buckets {
		wanted[b] = true
	}
	var out []Record
	for _, c := range t.All() {
		if wanted[bucketOf(c.name)] {
			out = append(out, c)
		}
	}
	return out
}

// toggle adds a claim to its digest, or takes it out again.
func (t *Table) toggle(c Record) {
	d := xxhash.New()
	_, _ = d.WriteString(c.name)
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], c.epoch)
	binary.LittleEndian.PutUint64(b[8:], c.version)
	b[16] = byte(c.status)
	_, _ = d.Write(b[:])
	t.digests[bucketOf(c.name)] ^= d.Sum64()
	t.changes++
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % NumBuckets) }

// dialledLinks is the number of links that a node dials; about as many are
// dialled to it.
const dialledLinks = 6

// Neighbours returns the nodes that this node keeps links to: those at the
// steps of Steps on the ring of hashed names.
func (t *Table) Neighbours() []Record {
	ring := t.Usable()
	at := sortRing(ring, t.self.name)
	if at < 0 {
		return nil
	}
	var out []Record
	seen := map[string]bool{t.self.name: true}
	for _, step := range NeighbourOffsets(len(ring)) {
		c := ring[(at+step)%len(ring)]
		if !seen[c.name] {
			seen[c.name] = true
			out = append(out, c)
		}
	}
	return out
}

// sortRing orders claims by hashed name and returns where the named one is, -1
// when it is not there.
func sortRing(ring []Record, name string) int {
	hashes := make(map[string]uint64, len(ring))
	for _, c := range ring {
		hashes[c.name] = xxhash.Sum64String(c.name)
	}
	sort.Slice(ring, func(i, j int) bool { return hashes[ring[i].name] < hashes[ring[j].name] })
	for i, c := range ring {
		if c.name == name {
			return i
		}
	}
	return -1
}

// NeighbourOffsets returns the distances on a ring of n nodes at which a node keeps links:
// powers of the sixth root of n, so that a change crosses the ring in about as
// many steps as there are digits, whatever n is.
func NeighbourOffsets(n int) []int {
	root := math.Pow(float64(n), 1.0/dialledLinks)
	out := make([]int, 0, dialledLinks)
	last := 0
	for i := range dialledLinks {
		step := max(int(math.Round(math.Pow(root, float64(i)))), last+1)
		out = append(out, step)
		last = step
	}
	return out
}

// RendezvousTop returns the count nodes of a data centre that prevail in rendezvous
// hashing for a duty, in this view.
func (t *Table) RendezvousTop(duty, dataCentre string, count int) []Record {
	var local []Record
	for _, c := range t.Usable() {
		if c.dataCentre == dataCentre {
			local = append(local, c)
		}
	}
	sort.Slice(local, func(i, j int) bool {
		return xxhash.Sum64String(duty+" "+local[i].name) > xxhash.Sum64String(duty+" "+local[j].name)
	})
	return local[:min(count, len(local))]
}
