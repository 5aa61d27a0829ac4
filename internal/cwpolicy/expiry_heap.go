package cwpolicy

import "container/heap"

// expiryHeap is a min-heap of ticket uses by expiry.
type expiryHeap []*TicketUse

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].Expiry.Before(h[j].Expiry) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. Callers use push instead.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*TicketUse)) }

// Pop implements heap.Interface. Callers use pop instead.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (h *expiryHeap) push(use *TicketUse) { heap.Push(h, use) }

func (h *expiryHeap) pop() *TicketUse { return heap.Pop(h).(*TicketUse) }
