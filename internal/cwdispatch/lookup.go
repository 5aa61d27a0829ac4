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

// lookupTimeout limits the lookups at all addresses together.
const lookupTimeout = time.Second

// resolveOutcome looks up a request with an unknown outcome at its service, if the
// operation has a lookup path and this region may serve the request. If the service
// finds it, the request ran and the outcome of p is set. Otherwise the outcome stays
// unknown, since a paused process may still send the request.
func (d *Dispatcher) resolveOutcome(ctx context.Context, job *Job, p *cwanswer.Problem) {
	op := job.Service.Operation(job.Method, job.Path)
	if p.Outcome != cwanswer.Unknown || op == nil || op.Lookup == "" || !job.AllowedRegions.Contains(d.Settings.Region) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	path := strings.ReplaceAll(op.Lookup, "{key}", job.Ticket)
	for _, address := range d.lookupAddresses(job) {
		request := newLookupRequest(address, path)
		resp, err := d.endpoints.Do(ctx, request, &cwnet.SendTracker{})
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

const maxLookupAddresses = 2

func (d *Dispatcher) lookupAddresses(job *Job) []string {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, e := range d.poolFor(job.Service.Pool()).Endpoints() {
		if e.IsUsable(now, cwpolicy.EndpointContactTimeout) && len(addresses) < maxLookupAddresses {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

func newLookupRequest(address, path string) *cwendpoint.Request {
	return &cwendpoint.Request{
		Address: address,
		Method:  http.MethodGet,
		Path:    path,
		Header:  make(http.Header),
		Body:    bytes.NewReader(nil),
	}
}
