package member

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// NumBuckets is the number of buckets, each with its own digest, into which a
// membership table is divided.
const NumBuckets = 64

// Digests holds one digest for each bucket of a membership table. Tables with
// equal digests hold the same records.
type Digests [NumBuckets]uint64

// Digests returns the digest of each bucket.
func (t *Table) Digests() Digests { return t.digests }

// Digest returns a digest of the whole table.
func (t *Table) Digest() uint64 {
	d := xxhash.New()
	var b [8]byte
	for _, bucket := range t.digests {
		binary.LittleEndian.PutUint64(b[:], bucket)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// DifferingBuckets returns the buckets whose digest in other differs from the
// table's.
func (t *Table) DifferingBuckets(other Digests) []int {
	var out []int
	for i := range t.digests {
		if t.digests[i] != other[i] {
			out = append(out, i)
		}
	}
	return out
}

// RecordsInBuckets returns the records in the given buckets, by node name.
func (t *Table) RecordsInBuckets(buckets []int) []Record {
	selected := map[int]bool{}
	for _, b := range buckets {
		selected[b] = true
	}
	var out []Record
	for _, r := range t.All() {
		if selected[bucketOf(r.name)] {
			out = append(out, r)
		}
	}
	return out
}

// toggleDigest adds a record to the digest of its bucket, or removes it if it
// was added before: the digest is the XOR of the record hashes. It also
// increments the generation.
func (t *Table) toggleDigest(r Record) {
	d := xxhash.New()
	_, _ = d.WriteString(r.name)
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], r.epoch)
	binary.LittleEndian.PutUint64(b[8:], r.version)
	b[16] = byte(r.status)
	_, _ = d.Write(b[:])
	t.digests[bucketOf(r.name)] ^= d.Sum64()
	t.generation++
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % NumBuckets) }

// dialledLinks is the number of links that a node dials. On average as many
// other nodes dial it.
const dialledLinks = 6

// Neighbours returns the nodes to which this node keeps links: those at the
// NeighbourOffsets on the ring of usable nodes ordered by hashed name.
func (t *Table) Neighbours() []Record {
	ring := t.Usable()
	index := sortRing(ring, t.self.name)
	if index < 0 {
		return nil
	}
	var out []Record
	seen := map[string]bool{t.self.name: true}
	for _, offset := range NeighbourOffsets(len(ring)) {
		r := ring[(index+offset)%len(ring)]
		if !seen[r.name] {
			seen[r.name] = true
			out = append(out, r)
		}
	}
	return out
}

// sortRing orders records by hashed node name and returns the index of the
// named node, or -1 if it is absent.
func sortRing(ring []Record, name string) int {
	hashes := make(map[string]uint64, len(ring))
	for _, r := range ring {
		hashes[r.name] = xxhash.Sum64String(r.name)
	}
	sort.Slice(ring, func(i, j int) bool { return hashes[ring[i].name] < hashes[ring[j].name] })
	for i, r := range ring {
		if r.name == name {
			return i
		}
	}
	return -1
}

// NeighbourOffsets returns the distances on a ring of n nodes at which a node
// keeps links. They are powers of the sixth root of n. Any distance, written in
// that base, has six digits, so that the number of hops in which a change crosses
// the ring grows only with the root.
func NeighbourOffsets(n int) []int {
	root := math.Pow(float64(n), 1.0/dialledLinks)
	out := make([]int, 0, dialledLinks)
	last := 0
	for i := range dialledLinks {
		offset := max(int(math.Round(math.Pow(root, float64(i)))), last+1)
		out = append(out, offset)
		last = offset
	}
	return out
}

// RendezvousTop returns the count usable nodes of a data centre that rank
// highest in rendezvous hashing for a role, such as "watch".
func (t *Table) RendezvousTop(role, dataCentre string, count int) []Record {
	var local []Record
	for _, r := range t.Usable() {
		if r.dataCentre == dataCentre {
			local = append(local, r)
		}
	}
	sort.Slice(local, func(i, j int) bool {
		return xxhash.Sum64String(role+" "+local[i].name) > xxhash.Sum64String(role+" "+local[j].name)
	})
	return local[:min(count, len(local))]
}
