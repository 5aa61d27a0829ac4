package cwsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed read of the platform, before
	// jitter.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
	// maxSilenceBackoff bounds the pause after a read without a response. Such a read takes more than
	// a second itself, which limits the rate, and its end tells nothing of the platform's load.
	maxSilenceBackoff = 2 * time.Second
)

// backoff determines the pauses after failed reads of the platform.
type backoff struct {
	next time.Duration
}

func newBackoff() backoff {
	return backoff{next: minBackoff}
}

// reset begins anew after a successful read.
func (b *backoff) reset() {
	b.next = minBackoff
}

// pause returns the pause after a failed read. Its jitter prevents all instances that lost contact with
// the platform from retrying at the same time.
func (b *backoff) pause(err error) time.Duration {
	limit := maxBackoff
	if errors.Is(err, context.DeadlineExceeded) {
		limit = maxSilenceBackoff
	}
	b.next = min(b.next, limit)
	d := b.next/2 + rand.N(b.next)
	b.next = min(2*b.next, limit)
	return d
}
