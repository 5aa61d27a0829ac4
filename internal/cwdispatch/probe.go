package cwdispatch

import (
	"context"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// handleStall runs when no byte came for a while. It finds out on a new connection
// whether the endpoint or only this connection is gone.
func (c *endpointAttempt) handleStall(ctx context.Context) {
	path := c.job.Service.Health
	if path == "" {
		path = cwendpoint.LoadPath
	}
	err := c.endpoints.Probe(ctx, c.choice.Endpoint.Address, path)
	if ctx.Err() != nil || c.progress.sinceProgress() < c.Settings.ProbeAfter {
		// The attempt ended or went on while the probe ran.
		return
	}
	if err != nil {
		c.Metrics.Counter("probes_failed").Inc(1)
		c.cancel(errProbeFailed)
		return
	}
	// The endpoint lives. A stream that can be resumed moves to a new connection
	// at no risk; a repeatable request that waits far beyond its prediction goes
	// elsewhere; anything else may just be slow and keeps its connection.
	if stream := c.eventStream.Load(); stream != nil && c.job.Service.Resume {
		_ = stream.Body.Close()
		return
	}
	slow := time.Since(c.startedAt) > slowFirstByteFactor*c.choice.PredictedFirstToken
	if c.job.IsRepeatable && !c.sink.hasStarted.Load() && slow && c.mayReplaceStalled() {
		c.endpoints.CloseIdle()
		c.cancel(errConnectionStalled)
	}
}

// mayReplaceStalled decides whether another attempt may take the place of one
// whose connection seems to be silent. It needs no retry budget once the endpoint
// has answered a later request: the load is not doubled then. Without that proof
// it takes from the budget, and an empty budget leaves the attempt waiting for the
// next check.
func (c *endpointAttempt) mayReplaceStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.choice.Endpoint.HasAnsweredRequestAfter(c.startedAt) {
		c.Metrics.Counter("silent_connections").Inc(1)
		return true
	}
	return c.retryBudget(c.job, placement{choice: c.choice}).TrySpend()
}

// slowFirstByteFactor is how far beyond its prediction a first byte may be before its
// connection is taken for silent.
const slowFirstByteFactor = 3

// cancelAtEngine stops an attempt that nobody waits for. Engines that resume
// streams would go on with it.
func (c *endpointAttempt) cancelAtEngine() {
	if !c.job.Service.Resume || c.job.Service.Kind != cwservice.Engine {
		return
	}
	go func() {
		if err := c.endpoints.Cancel(context.Background(), c.choice.Endpoint.Address, c.attemptID); err != nil {
			c.Log.Sugar().Debugw("attempt not cancelled", "request", c.job.RequestID, "error", err)
		}
	}()
}
