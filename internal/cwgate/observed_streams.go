package cwgate

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

const (
	// reportRounds is how often an instance that has started asks for reports, and reportInterval the
	// time between: reports are some hundred milliseconds old.
	reportRounds   = 2
	reportInterval = 500 * time.Millisecond
	// maxReportsPerRound bounds what a start costs. Instances that start together choose at random:
	// of 68 for 2,000 endpoints of a failure domain, nine in ten endpoints are asked in a round.
	maxReportsPerRound = 64
	// reportTimeout is the time for a report. It waits for no slot.
	reportTimeout = 500 * time.Millisecond
	// maxReportBytes is the limit for a report, far above one with all runs of an endpoint.
	maxReportBytes = 256 << 10
)

// ObserveStreams reads from reports of endpoints which streams were in progress when this instance
// started: after the loss of all instances nothing else tells what began them. It always returns nil.
func (g *Gate) ObserveStreams(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.state.Configured():
	}
	for range reportRounds {
		for _, e := range g.drawReportingEndpoints(time.Now()) {
			g.Go("observeStreams", func() { g.observeStreams(ctx, e) })
		}
		cwcommon.Sleep(ctx, reportInterval)
	}
	<-ctx.Done()
	return nil
}

// drawReportingEndpoints returns endpoints of this failure domain whose streams may go on at others.
// Cold ones are spared.
func (g *Gate) drawReportingEndpoints(now time.Time) []cwroute.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	var endpoints []cwroute.Endpoint
	for name := range g.watchedServices {
		for _, e := range g.pools[name].Endpoints() {
			if e.Domain == g.site.Domain && e.StartedAtMillis != 0 && !e.IsCold(now) {
				endpoints = append(endpoints, e.Endpoint)
			}
		}
	}
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	return endpoints[:min(len(endpoints), maxReportsPerRound)]
}

// observeStreams records the streams in progress at an endpoint.
func (g *Gate) observeStreams(ctx context.Context, e cwroute.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := g.fetchReport(ctx, &e)
	g.metrics.streamReports.Inc(1)
	if err != nil {
		g.Log.Debug("streams of an endpoint not read", zap.String("endpoint", e.ID), zap.Error(err))
		return
	}
	now := time.Now()
	g.mu.Lock()
	g.sync(now)
	isSame := isSameIncarnation(g.pools[e.Service].Endpoint(e.ID), &e, &report)
	expiresAt := now.Add(g.longestStream(e.Service))
	g.mu.Unlock()
	if !isSame {
		return
	}
	records := make([]cwstream.Record, 0, len(report.Streams))
	for _, id := range report.Streams {
		records = append(records, cwstream.Record{
			ID: cwstream.NewID(id), Origin: cwstream.Origin{Service: e.Service, Version: e.Version}, ExpiresAt: expiresAt, IsObserved: true,
		})
	}
	g.streams.Merge(records, now)
}

// isSameIncarnation reports whether a report comes from the incarnation of which the entry names the
// version, before the report was requested and after.
func isSameIncarnation(current *cwplacement.Endpoint, asked *cwroute.Endpoint, report *EndpointReport) bool {
	return current != nil && current.Version == asked.Version && current.StartedAtMillis == asked.StartedAtMillis && report.StartedAtMillis == asked.StartedAtMillis
}

func (g *Gate) fetchReport(ctx context.Context, e *cwroute.Endpoint) (EndpointReport, error) {
	check := g.codec.BuildReportCheck(e.Address)
	response, err := g.conns.Do(ctx, &cwconn.Call{
		Address: e.Address, Method: check.Method, MaxConns: g.maxConns(e.Service),
		EncodeHead: func() []byte { return check.Head }, MatchResponse: check.MatchResponse,
	})
	if err != nil {
		return EndpointReport{}, err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil {
		return EndpointReport{}, fmt.Errorf("read report of %s: %w", e.Address, err)
	}
	report, err := g.codec.DecodeReport(body)
	return report, cwlimit.ShortenError(err)
}

// longestStream returns the longest time that a caller of the service may wait for its stream. The
// caller holds mu.
func (g *Gate) longestStream(service string) time.Duration {
	longest := time.Duration(0)
	for _, r := range g.view.Config.Routes {
		if r.Kind != cwroute.Stream || !r.LeadsTo(service) {
			continue
		}
		if r.Timeout <= 0 {
			return defaultCallerTimeout
		}
		longest = max(longest, r.Timeout)
	}
	return longest
}
