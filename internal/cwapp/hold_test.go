package cwapp_test

import (
	"net/http"
	"sync/atomic"
)

// holdPoint is where a request is held at its endpoint.
type holdPoint int

const (
	holdNowhere holdPoint = iota
	// holdHead is before the head of the response, and holdBody in the middle of its body.
	holdHead
	holdBody
	// holdRejection is before a response that the request was not run.
	holdRejection
	// holdBreak is in the middle of the body, which is then broken off.
	holdBreak
)

// hold makes the first request that reaches any of several endpoints wait at a point.
type hold struct {
	point   holdPoint
	isTaken atomic.Bool
	// reached is closed once the request waits, and the test closes released.
	reached, released chan struct{}
	// runs is the number of requests that the endpoints ran.
	runs atomic.Int64
}

func newHold(point holdPoint) *hold {
	return &hold{point: point, reached: make(chan struct{}), released: make(chan struct{})}
}

// take returns the point for the next request.
func (h *hold) take() holdPoint {
	if h.point != holdNowhere && h.isTaken.CompareAndSwap(false, true) {
		return h.point
	}
	return holdNowhere
}

// wait waits for the release. It ends the response without one if the peer closes the
// connection before.
func (h *hold) wait(r *http.Request) {
	close(h.reached)
	select {
	case <-h.released:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}
