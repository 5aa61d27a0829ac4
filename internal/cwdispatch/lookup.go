package cwdispatch

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const lookupTimeout = time.Second

// settle looks a request with an unknown outcome up at its service, where the
// service file names a read for that. A hit proves that it ran; a miss proves
// nothing, since a paused process may still send it.
func (d *Dispatcher) settle(ctx context.Context, job *Job, p *cwanswer.Problem) {
	op := job.Service.Operation(job.Method, job.Path)
	if p.Outcome != cwanswer.Unknown || op == nil || op.Lookup == "" || !job.Places.Contains(d.Settings.Region) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	path := strings.ReplaceAll(op.Lookup, "{key}", job.Ticket)
	for _, address := range d.lookupTargets(job) {
		request := lookupRequest(address, path)
		resp, err := d.endpoints.Do(ctx, request, &cwnet.SendWatch{})
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			p.Outcome = cwanswer.Ran
		}
		return
	}
}

const maxLookups = 2

func (d *Dispatcher) lookupTargets(job *Job) []string {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var targets []string
	for _, e := range d.pool(job.Service.Pool()).Endpoints() {
		if e.IsUsable(now, cwpolicy.EndpointContactTimeout) && len(targets) < maxLookups {
			targets = append(targets, e.Address)
		}
	}
	return targets
}

func lookupRequest(address, path string) *cwendpoint.Request {
	return &cwendpoint.Request{
		Address: address,
		Method:  http.MethodGet,
		Path:    path,
		Header:  make(http.Header),
		Body:    bytes.NewReader(nil),
	}
}
