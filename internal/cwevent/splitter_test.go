package cwevent_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
)

// TestSplitterReturnsWholeEvents guards against an event that is held back or returned in part.
// Lines may end with CRLF, and a stream may be cut anywhere into the parts that are read.
func TestSplitterReturnsWholeEvents(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		stream := strings.ReplaceAll("id: 1|data: a||id: 2|data: b|data: c||: comment||id: 3|data: [DONE]||id: 4|da", "|", end)
		whole := strings.LastIndex(stream, end+end) + 2*len(end)
		for size := 1; size <= len(stream); size++ {
			is := is.New(t)
			var s cwevent.Splitter
			got := ""
			for rest := stream; rest != ""; {
				n := min(size, len(rest))
				events, err := s.Push([]byte(rest[:n]))
				is.NoErr(err)
				got += string(events)
				is.True(len(events) == 0 || strings.HasSuffix(string(events), end+end))
				rest = rest[n:]
			}
			is.Equal(got, stream[:whole])
			is.Equal(s.LastEventID, "3")
			is.True(s.Done)
			is.Equal(string(s.TakePartial()), stream[whole:])
		}
	}
}

// TestCommentsAreNoEvents guards against a response that begins with comments alone, and against
// comments that count as progress of a stream.
func TestCommentsAreNoEvents(t *testing.T) {
	const first = ": wait\n\n\n: wait\n\nid: 1\ndata: a\n\n"
	for size := 1; size <= len(first); size++ {
		is := is.New(t)
		s := cwevent.Splitter{HoldsComments: true}
		got := ""
		for rest := first; rest != ""; {
			n := min(size, len(rest))
			events, err := s.Push([]byte(rest[:n]))
			is.NoErr(err)
			is.Equal(len(events) > 0, s.HasEvent)
			got += string(events)
			rest = rest[n:]
		}
		is.Equal(got, first)
		events, err := s.Push([]byte(": still here\n\n"))
		is.NoErr(err)
		is.Equal(string(events), ": still here\n\n")
		is.True(!s.HasEvent)
	}
}

// TestEndlessEventIsLimited guards against an event without an end that is collected, or passed
// on in parts, as long as it lasts. Events before it have been returned.
func TestEndlessEventIsLimited(t *testing.T) {
	for _, c := range []struct {
		name       string
		budget     *cwlimit.Budget
		limitBytes int
	}{
		{"one event", nil, cwlimit.MaxEventBytes},
		{"all responses in memory", cwlimit.NewBudget(32 << 20), 8 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := cwevent.Splitter{Peer: "peer:1"}
			if c.budget != nil {
				s.Memory = c.budget.NewReservation()
			}
			events, err := s.Push([]byte("id: 1\ndata: a\n\ndata: "))
			is.NoErr(err)
			is.Equal(string(events), "id: 1\ndata: a\n\n")
			part := []byte(strings.Repeat("x", 4096))
			pushed := 0
			for err == nil && pushed <= c.limitBytes {
				events, err = s.Push(part)
				is.Equal(len(events), 0)
				pushed += len(part)
			}
			var limitErr *cwlimit.Error
			is.True(errors.As(err, &limitErr))
			is.Equal(limitErr.Peer, "peer:1")
			is.True(pushed <= c.limitBytes+len(part))
			if c.budget != nil {
				s.Memory.Release()
				is.Equal(c.budget.UsedBytes(), int64(0))
			}
		})
	}
}
