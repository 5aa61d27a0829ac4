package cwpolicy

import "math/rand/v2"

// IndexedList is an unordered list with keys. Elements are added, removed and
// picked at random in constant time. Removing an element moves the last one into
// its place.
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

// Remove removes the element with the key, if there is one.
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

// Items returns the elements. The caller must not modify the slice.
func (l *IndexedList[K, V]) Items() []V {
	return l.items
}

// PickRandom returns a random element. The list must not be empty.
func (l *IndexedList[K, V]) PickRandom(rng *rand.Rand) V {
	return l.items[rng.IntN(len(l.items))]
}
