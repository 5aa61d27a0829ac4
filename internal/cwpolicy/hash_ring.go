package cwpolicy

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const pointsPerItem = 16

// HashRing is a consistent-hash ring. Instances with the same items map a hash to the
// same item, and adding or removing an item remaps only that item's share.
type HashRing[V any] struct {
	points []ringPoint[V]
}

type ringPoint[V any] struct {
	hash uint64
	item V
}

// NewHashRing returns a ring with the items placed by the hashes of their names.
func NewHashRing[V any](items []V, name func(V) string) *HashRing[V] {
	r := &HashRing[V]{points: make([]ringPoint[V], 0, len(items)*pointsPerItem)}
	for _, item := range items {
		base := xxhash.Sum64String(name(item))
		for i := range uint64(pointsPerItem) {
			r.points = append(r.points, ringPoint[V]{hash: hashPair(base, i), item: item})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint[V]) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// Lookup returns the item at the first point at or after the hash, or at the point
// that follows it by skip points. The ring must not be empty.
func (r *HashRing[V]) Lookup(hash uint64, skip int) V {
	lo, hi := 0, len(r.points)
	for lo < hi {
		mid := (lo + hi) / 2
		if r.points[mid].hash < hash {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return r.points[(lo+skip)%len(r.points)].item
}

// IsEmpty reports whether the ring has no items.
func (r *HashRing[V]) IsEmpty() bool {
	return r == nil || len(r.points) == 0
}

func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
