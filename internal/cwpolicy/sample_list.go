package cwpolicy

import "math/rand/v2"

// IndexedList is a list whose elements are added and removed in constant time and
// can be drawn at random. Removal moves the last element into the gap.
type IndexedList[K comparable, V any] struct {
	keys  []K
	items []V
	index map[K]int
}

// NewIndexedList returns an empty list.
func NewIndexedList[K comparable, V any]() *IndexedList[K, V] {
	return &IndexedList[K, V]{index: make(map[K]int)}
}

// Set adds or replaces the element with the key.
func (l *IndexedList[K, V]) Set(key K, item V) {
	if i, ok := l.index[key]; ok {
		l.items[i] = item
		return
	}
	l.index[key] = len(l.items)
	l.keys = append(l.keys, key)
	l.items = append(l.items, item)
}

// Get returns the element with the key.
func (l *IndexedList[K, V]) Get(key K) (V, bool) {
	i, ok := l.index[key]
	if !ok {
		var none V
		return none, false
	}
	return l.items[i], true
}

// Remove drops the element with the key, if there is one.
func (l *IndexedList[K, V]) Remove(key K) {
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
func (l *IndexedList[K, V]) Len() int {
	return len(l.items)
}

// Items returns the elements. The caller must not change the slice.
func (l *IndexedList[K, V]) Items() []V {
	return l.items
}

// PickRandom returns an element drawn at random from a list that is not empty.
func (l *IndexedList[K, V]) PickRandom(rng *rand.Rand) V {
	return l.items[rng.IntN(len(l.items))]
}
