package cwpolicy

import "math/rand/v2"

// SampleList is a list whose elements are added and removed in constant time and
// can be drawn at random. Removal moves the last element into the gap.
type SampleList[K comparable, V any] struct {
	keys  []K
	items []V
	index map[K]int
}

// NewSampleList returns an empty list.
func NewSampleList[K comparable, V any]() *SampleList[K, V] {
	return &SampleList[K, V]{index: make(map[K]int)}
}

// Set adds or replaces the element with the key.
func (l *SampleList[K, V]) Set(key K, item V) {
	if i, ok := l.index[key]; ok {
		l.items[i] = item
		return
	}
	l.index[key] = len(l.items)
	l.keys = append(l.keys, key)
	l.items = append(l.items, item)
}

// Get returns the element with the key.
func (l *SampleList[K, V]) Get(key K) (V, bool) {
	i, ok := l.index[key]
	if !ok {
		var none V
		return none, false
	}
	return l.items[i], true
}

// Remove drops the element with the key, if there is one.
func (l *SampleList[K, V]) Remove(key K) {
	i, ok := l.index[key]
	if !ok {
		return
	}
	last := len(l.items) - 1
	l.keys[i], l.items[i] = l.keys[last], l.items[last]
	l.index[l.keys[i]] = i
	delete(l.index, key)
	var none V
	l.items[last] = none
	l.keys, l.items = l.keys[:last], l.items[:last]
}

// Len returns the number of elements.
func (l *SampleList[K, V]) Len() int {
	return len(l.items)
}

// Items returns the elements. The caller must not change the slice.
func (l *SampleList[K, V]) Items() []V {
	return l.items
}

// Pick returns an element drawn at random from a list that is not empty.
func (l *SampleList[K, V]) Pick(rng *rand.Rand) V {
	return l.items[rng.IntN(len(l.items))]
}
