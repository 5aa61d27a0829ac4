package cwpublished

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

const (
	// confirmInterval is how long it counts that the store has no newer version than this instance: each
	// instance reads the store once in that time at most for streams of unknown origin.
	confirmInterval = time.Second
	// catchUpWait is how long this instance may take to apply what the store has.
	catchUpWait = 500 * time.Millisecond
	// historyReadTimeout is the time for all calls to the store. From another region one takes 0.2 s.
	historyReadTimeout = 3 * time.Second
	// firstHistoryStep and historyStepGrowth determine how far back from the present revision the search
	// for the oldest one tries: a few changes, then ever more.
	firstHistoryStep, historyStepGrowth = 8, 8
)

// HistoryStore reads changes that were made before this instance started. The platform's adapter
// implements it.
type HistoryStore interface {
	// ReadHistory returns the changes of endpoints after the revision at once. It returns ErrCompacted if
	// the store no longer has them, ErrTooLarge if one response can't hold them, and ErrRestored if the
	// store is in another era than the revision.
	ReadHistory(ctx context.Context, after Revision) (Changes, error)
}

// VersionHistory determines whether the endpoints of a service had one software version only, also in
// the seconds before this instance started. Its methods may be called concurrently.
type VersionHistory struct {
	*cwcommon.Common
	state *State
	store HistoryStore
	// length is how long the store keeps changes.
	length time.Duration
	// turn is held while the store is read. It guards the fields below.
	turn chan struct{}
	// hasRead is set if the history was read, up to the revision readTo.
	hasRead bool
	readTo  Revision
	// confirmedAt is when the store was last read, and confirmed its revision then; failedAt is when it
	// could last not be read.
	confirmedAt, failedAt time.Time
	confirmed             Revision
}

// NewVersionHistory returns a VersionHistory that reads the store, which keeps changes for the given
// time, when it is first needed.
func NewVersionHistory(common *cwcommon.Common, state *State, store HistoryStore, length time.Duration) *VersionHistory {
	return &VersionHistory{Common: common, state: state, store: store, length: length, turn: make(chan struct{}, 1)}
}

// SoleVersion returns the only software version that endpoints of the service have had from the given
// time before now on, while the configuration did not change. If there were others, or may have been,
// it returns the reason.
func (h *VersionHistory) SoleVersion(ctx context.Context, service string, window time.Duration) (string, VersionDoubt) {
	since := time.Now().Add(-window)
	ctx, cancel := context.WithTimeout(ctx, historyReadTimeout)
	defer cancel()
	if len(h.state.VersionsSince(service, since).Versions) != 1 {
		return "", SeveralVersions
	}
	select {
	case h.turn <- struct{}{}:
		defer func() { <-h.turn }()
	case <-ctx.Done():
		return "", StoreUnread
	}
	if !h.state.VersionsSince(service, since).IsComplete {
		h.extend(ctx)
	}
	if !h.confirm(ctx) {
		return "", StoreUnread
	}
	switch v := h.state.VersionsSince(service, since); {
	case len(v.Versions) != 1:
		return "", SeveralVersions
	case !v.IsComplete:
		return "", HistoryIncomplete
	case !v.IsConfigUnchanged:
		return "", ConfigChanged
	default:
		return v.Versions[0], ""
	}
}

// extend reads the history that the store keeps, once for each time that this instance has read all
// published items. The caller has the turn.
func (h *VersionHistory) extend(ctx context.Context) {
	if h.length <= 0 || h.hasRead && h.readTo == h.state.versionsCompleteFrom() || time.Since(h.failedAt) < confirmInterval {
		return
	}
	startedAt := time.Now()
	changes, oldest, err := h.findOldest(ctx)
	if err != nil {
		h.failedAt = time.Now()
		// A history that is too large is not read again.
		h.hasRead, h.readTo = errors.Is(err, ErrTooLarge), h.state.versionsCompleteFrom()
		h.Log.Warn("history of the store not read", zap.Error(err))
		return
	}
	h.confirmedAt, h.confirmed = startedAt, changes.Revision
	isAdded := h.state.addHistory(changes.Items, oldest, time.Now(), h.length)
	h.hasRead, h.readTo = true, h.state.versionsCompleteFrom()
	h.Log.Info("history of the store read", zap.Uint64("from", oldest.StoreRevision()), zap.Uint64("revision", changes.Revision.StoreRevision()),
		zap.Int("changes", len(changes.Items)), zap.Bool("complete", isAdded), zap.Duration("took", time.Since(startedAt)))
}

// findOldest returns the oldest revision after which the store has all changes, and these.
func (h *VersionHistory) findOldest(ctx context.Context) (changes Changes, oldest Revision, err error) {
	current := h.state.Revision()
	if changes, err = h.read(ctx, current); err != nil {
		return changes, 0, err
	}
	// The changes after has are known, and those after lacks are not all there.
	has, lacks := current.StoreRevision(), uint64(0)
	for step := uint64(firstHistoryStep); has > lacks; step *= historyStepGrowth {
		after := current.StoreRevision() - min(step, current.StoreRevision())
		older, err := h.read(ctx, NewRevision(current.Era(), after))
		if errors.Is(err, ErrCompacted) {
			lacks = after
			break
		}
		if err != nil {
			return changes, 0, err
		}
		changes, has = older, after
	}
	for has > lacks+1 {
		after := lacks + (has-lacks)/2
		older, err := h.read(ctx, NewRevision(current.Era(), after))
		switch {
		case errors.Is(err, ErrCompacted):
			lacks = after
		case err != nil:
			return changes, 0, err
		default:
			changes, has = older, after
		}
	}
	return changes, NewRevision(current.Era(), has), nil
}

func (h *VersionHistory) read(ctx context.Context, after Revision) (Changes, error) {
	h.Metrics.Counter("store_history_reads").Inc(1)
	return h.store.ReadHistory(ctx, after)
}

// confirm makes sure that this instance has applied all that the store had within confirmInterval. It
// returns false if that is not known. The caller has the turn.
func (h *VersionHistory) confirm(ctx context.Context) bool {
	if now := time.Now(); now.Sub(h.confirmedAt) >= confirmInterval {
		if now.Sub(h.failedAt) < confirmInterval || h.state.IsStoreUnreachable() {
			return false
		}
		changes, err := h.read(ctx, h.state.Revision())
		if err != nil {
			h.failedAt = time.Now()
			h.Log.Warn("store not read for streams of unknown origin", zap.Error(err))
			return false
		}
		h.confirmedAt, h.confirmed = now, changes.Revision
	}
	return h.state.Await(ctx, h.confirmed, catchUpWait)
}
