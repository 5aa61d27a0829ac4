package cwpeer

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

const (
	// streamSpreadInterval is the interval at which an instance tells others of its streams. A
	// caller takes its stream up within a second of the break.
	streamSpreadInterval = 250 * time.Millisecond
	// streamCallTimeout bounds a call about streams: a round trip between regions, another one for
	// a new connection, and a margin.
	streamCallTimeout = 500 * time.Millisecond
)

// StreamSpreader tells other instances which streams this one began, and asks them about streams
// that callers take up here.
type StreamSpreader struct {
	*cwcommon.Common
	control *cwcontrol.Control
	client  *Client
	ledger  StreamLedger
}

// NewStreamSpreader returns a spreader; Run starts it.
func NewStreamSpreader(common *cwcommon.Common, control *cwcontrol.Control, client *Client, ledger StreamLedger) *StreamSpreader {
	return &StreamSpreader{Common: common, control: control, client: client, ledger: ledger}
}

// Run tells of new streams until ctx ends.
func (s *StreamSpreader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(streamSpreadInterval):
		}
		now := time.Now()
		records := s.ledger.TakeUntold(now)
		if len(records) == 0 {
			continue
		}
		snapshot := s.control.Snapshot()
		for _, address := range cwpolicy.StreamListeners(&snapshot.Self, snapshot.Members, now) {
			s.Go("shareStreams", func() { s.share(ctx, address, records) })
		}
	}
}

func (s *StreamSpreader) share(ctx context.Context, address string, records []cwstream.Record) {
	if err := s.client.ShareStreams(ctx, address, records); err != nil {
		// If this instance lives, it is asked; an instance of an older version does not know the
		// call.
		s.Log.Debug("streams not shared", zap.String("peer", address), zap.Int("streams", len(records)), zap.Error(err))
		s.Metrics.Counter("stream_share_failures").Inc(1)
	}
}

// FindStream asks other instances about a stream that this one does not know, and returns the first
// record in time. A record that was only observed counts if no other one contradicts it.
func (s *StreamSpreader) FindStream(ctx context.Context, id cwstream.ID) (cwstream.Record, cwstream.Inquiry) {
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	snapshot := s.control.Snapshot()
	witnesses := cwpolicy.StreamWitnesses(&snapshot.Self, snapshot.Members, time.Now())
	found := make(chan StreamAnswer, len(witnesses))
	for _, address := range witnesses {
		s.Go("findStream", func() { found <- s.ask(ctx, address, id) })
	}
	inquiry := cwstream.Inquiry{Asked: len(witnesses)}
	var observed []cwstream.Record
	for range witnesses {
		answer := <-found
		inquiry.Revision = max(inquiry.Revision, answer.Revision)
		inquiry.IsUncertain = inquiry.IsUncertain || answer.IsUncertain
		switch {
		case answer.Record == nil && answer.Err == nil:
			inquiry.Answered++
		case answer.Record == nil:
		case !answer.Record.IsObserved:
			inquiry.IsFound = true
			return *answer.Record, inquiry
		default:
			observed = append(observed, *answer.Record)
		}
	}
	if len(observed) == 0 {
		return cwstream.Record{}, inquiry
	}
	inquiry.IsContradicted = slices.ContainsFunc(observed, func(r cwstream.Record) bool { return r.Origin != observed[0].Origin })
	inquiry.IsFound = !inquiry.IsContradicted
	return observed[0], inquiry
}

// ask returns what an instance knows of a stream.
func (s *StreamSpreader) ask(ctx context.Context, address string, id cwstream.ID) StreamAnswer {
	answer, err := s.client.FindStream(ctx, address, id)
	if err != nil && ctx.Err() == nil {
		s.Log.Debug("instance not asked about a stream", zap.String("peer", address), zap.Error(err))
	}
	answer.Err = err
	return answer
}
