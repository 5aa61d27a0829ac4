package cwgate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// stream passes whole events on as they arrive. Nothing goes out before the first
// one, so that an attempt which fails earlier leaves the answer open.
func (a *attempt) stream(ctx context.Context, answer *cwconn.Answer) result {
	j := a.job
	tracker := &cwevent.Tracker{LastID: j.out.lastEvent}
	var hop cwevent.HopReader
	buf := make([]byte, eventBufferBytes)
	for {
		n, err := answer.Read(buf)
		events := tracker.Push(buf[:n])
		if a.exit != "" {
			var gap error
			if events, gap = hop.Strip(events); gap != nil {
				return a.broken(ctx, fmt.Errorf("read stream of %s: %w", a.peer, gap))
			}
		}
		if len(events) > 0 {
			a.eventArrived()
			j.out.begin(answer.StatusCode, answer.Header)
			if err := j.out.events(events); err != nil {
				a.end(ctx, cwplacement.Abandoned)
				return result{err: fmt.Errorf("pass events on: %w", err)}
			}
			j.out.lastEvent = tracker.LastID
		}
		if errors.Is(err, io.EOF) {
			if a.exit != "" && !hop.Ended() {
				return a.broken(ctx, fmt.Errorf("read stream of %s: %w", a.peer, cwevent.ErrGap))
			}
			return a.streamEnded(ctx, tracker)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = fmt.Errorf("%w: %w", cause, err)
			}
			a.verify(ctx)
			return a.broken(ctx, fmt.Errorf("read stream of %s: %w", a.peer, err))
		}
	}
}

func (a *attempt) streamEnded(ctx context.Context, tracker *cwevent.Tracker) result {
	switch {
	case len(tracker.Rest()) > 0:
		return a.broken(ctx, errPartial)
	case !a.job.out.begun:
		return a.broken(ctx, errNoEvent)
	}
	a.job.note(cwanswer.Ran)
	a.end(ctx, cwplacement.Served)
	if err := a.job.out.end(); err != nil {
		return result{err: err}
	}
	return result{done: true}
}

func (a *attempt) eventArrived() {
	now := time.Now()
	a.stall.progress(a.eventPatience())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.job.out.paced(now)
	if a.ticket != nil {
		a.ticket.OnEvent(now)
	}
}

const (
	// pauseFactor is the multiple of the expected pause between two events after
	// which a stream counts as stalled.
	pauseFactor = 3
	// minEventPatience leaves room for a batch that reads in a long prompt.
	minEventPatience = 1200 * time.Millisecond
)

// eventPatience is how long a stream may go without an event before it goes on
// elsewhere; 0 if it can't.
func (a *attempt) eventPatience() time.Duration {
	if a.job.Relayed || !a.job.route.IsResumable || a.job.runs >= a.job.route.MaxAttempts {
		return 0
	}
	return max(pauseFactor*a.job.route.MaxEventGap, minEventPatience)
}
