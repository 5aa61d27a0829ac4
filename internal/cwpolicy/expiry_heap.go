package cwpolicy

import "container/heap"

// expiryHeap orders ticket uses by expiry, the earliest first.
type expiryHeap []*TicketUse

// Len is part of heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].Expiry.Before(h[j].Expiry) }

// Swap is part of heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface; callers use push.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*TicketUse)) }

// Pop is part of heap.Interface; callers use pop.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (h *expiryHeap) push(use *TicketUse) { heap.Push(h, use) }

func (h *expiryHeap) pop() *TicketUse { return heap.Pop(h).(*TicketUse) }
