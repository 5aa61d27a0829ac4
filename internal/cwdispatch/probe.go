package cwdispatch

import (
	"context"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// handleStall runs after each Settings.ProbeAfter without a received byte. It probes
// the endpoint on a new connection to tell a failed endpoint from a failed connection.
func (a *endpointAttempt) handleStall(ctx context.Context) {
	path := a.job.Service.Health
	if path == "" {
		path = cwendpoint.LoadPath
	}
	err := a.endpoints.Probe(ctx, a.choice.Endpoint.Address, path)
	if ctx.Err() != nil || a.progress.sinceProgress() < a.Settings.ProbeAfter {
		// The attempt ended or made progress while the probe ran.
		return
	}
	if err != nil {
		a.Metrics.Counter("probes_failed").Inc(1)
		a.cancel(errProbeFailed)
		return
	}
	// The endpoint is up. A resumable stream can safely continue on a new connection:
	// closing its body makes deliver resume it. A repeatable request that waits far
	// longer than predicted is retried. Any other request may just be slow and keeps
	// its connection.
	if stream := a.eventStream.Load(); stream != nil && a.job.Service.Resume {
		_ = stream.Body.Close()
		return
	}
	isSlow := time.Since(a.startedAt) > slowFirstByteFactor*a.choice.PredictedFirstToken
	if a.job.IsRepeatable && !a.sink.hasStarted.Load() && isSlow && a.mayReplaceStalled() {
		a.endpoints.CloseIdle()
		a.cancel(errConnectionStalled)
	}
}

// mayReplaceStalled reports whether another attempt may replace one whose connection
// seems to be stalled. It needs no retry budget if the endpoint has responded to a
// later request, since the retry does not double the load then. Otherwise it spends
// retry budget; if there is none, the attempt waits for the next check.
func (a *endpointAttempt) mayReplaceStalled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.choice.Endpoint.HasAnsweredRequestAfter(a.startedAt) {
		a.Metrics.Counter("silent_connections").Inc(1)
		return true
	}
	return a.retryBudget(a.job, placement{choice: a.choice}).TrySpend()
}

// slowFirstByteFactor is the multiple of the predicted time to the first token after
// which a connection without a response counts as stalled.
const slowFirstByteFactor = 3

// cancelOnEngine cancels an attempt whose result is no longer needed. An engine that
// supports resumed streams would otherwise keep generating.
func (a *endpointAttempt) cancelOnEngine() {
	if !a.job.Service.Resume || a.job.Service.Kind != cwservice.Engine {
		return
	}
	a.Go("cancelOnEngine", func() {
		if err := a.endpoints.Cancel(context.Background(), a.choice.Endpoint.Address, a.attemptID); err != nil {
			a.Log.Sugar().Debugw("attempt not cancelled", "request", a.job.RequestID, "error", err)
		}
	})
}
