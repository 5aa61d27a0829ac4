package cwdispatch

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// AcceptsSpillover reports whether this domain accepts a request for the service
// that was forwarded from a region which may serve the request itself.
func (d *Dispatcher) AcceptsSpillover(service *cwservice.Service) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncControlState(now)
	p := d.poolFor(service.Pool())
	return p.Queue.Len() == 0 && cwpolicy.AcceptsSpillover(p.Capacity(now))
}
