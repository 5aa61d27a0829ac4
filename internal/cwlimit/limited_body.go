package cwlimit

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// limitedBody is a response body with a limit, of which all that was read counts in a budget
// until the body is closed.
type limitedBody struct {
	io.ReadCloser
	budget   *Budget
	peer     string
	maxBytes int64

	// mu guards the reservation: a body may be closed while it is read.
	mu          sync.Mutex
	reservation *Reservation
	isClosed    bool
}

func newLimitedBody(body io.ReadCloser, budget *Budget, peer string, maxBytes int64) *limitedBody {
	return &limitedBody{
		ReadCloser: http.MaxBytesReader(nil, body, maxBytes),
		budget:     budget, peer: peer, maxBytes: maxBytes, reservation: budget.newControlReservation(),
	}
}

// Read returns an *Error once the body exceeds its limit or the budget.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.reserve(int64(n)) {
		return 0, b.reservation.Error("read response", b.peer)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return n, &Error{Step: "read response", Peer: b.peer, LimitBytes: b.maxBytes}
	}
	return n, err
}

func (b *limitedBody) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isClosed || b.reservation.Grow(n)
}

// Close closes the body and returns its memory to the budget.
func (b *limitedBody) Close() error {
	b.mu.Lock()
	b.isClosed = true
	b.reservation.Release()
	b.mu.Unlock()
	return b.ReadCloser.Close()
}
