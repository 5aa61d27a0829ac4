// Package cwtrial simulates deployments in virtual time and compares the placement
// decisions of cwpolicy with those of simpler policies. Endpoints are modelled as
// queues. Instances run the same placement code as the gateway.
package cwtrial

import (
	"container/heap"
	"time"
)

// eventLoop runs functions in the order of virtual time, those of equal time in the
// order in which they were scheduled.
type eventLoop struct {
	now    time.Time
	events eventHeap
	seq    int
}

type event struct {
	dueAt time.Time
	seq   int
	run   func()
}

func newEventLoop() *eventLoop {
	return &eventLoop{now: time.Unix(1_800_000_000, 0)}
}

func (l *eventLoop) schedule(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{dueAt: l.now.Add(d), seq: l.seq, run: run})
}

func (l *eventLoop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].dueAt.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.dueAt
		e.run()
	}
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].dueAt.Before(h[j].dueAt)
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
