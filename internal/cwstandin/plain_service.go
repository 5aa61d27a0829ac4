package cwstandin

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const plainSlots = 64

// PlainService stands in for a plain service. It counts the runs of each key, so that
// tests detect a request that ran twice. A request's key is its ticket.
type PlainService struct {
	endpointState
	// Name is the endpoint's name in responses.
	Name string
	// Delay is added to the time of each request.
	Delay time.Duration
	// BlockUntil, if set, blocks each response until a receive from it succeeds or the
	// client disconnects.
	BlockUntil chan struct{}

	runsByKey   map[string]int
	startedKeys chan string
}

const startedKeysBufferSize = 4096

// NewPlainService returns a service with a name and a delay.
func NewPlainService(name string, delay time.Duration) *PlainService {
	return &PlainService{
		Name: name, Delay: delay,
		endpointState: endpointState{incarnation: uint64(time.Now().UnixNano()), slots: plainSlots},
		runsByKey:     make(map[string]int),
		startedKeys:   make(chan string, startedKeysBufferSize),
	}
}

// SetSlots sets the number of requests that the service reports to run at the same time.
func (p *PlainService) SetSlots(slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = slots
}

// Runs returns the number of times that the request with the key ran.
func (p *PlainService) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runsByKey[key]
}

// TotalRuns returns the number of requests that ran, and the number of keys that ran
// more than once. Requests without a key count towards the total only.
func (p *PlainService) TotalRuns() (total, duplicated int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, n := range p.runsByKey {
		total += n
		if n > 1 && key != "" {
			duplicated++
		}
	}
	return total, duplicated
}

// StartedKeys returns a channel that receives the key of each request when it starts.
// Keys are dropped while the channel's buffer is full.
func (p *PlainService) StartedKeys() <-chan string {
	return p.startedKeys
}

// Handler returns the service's HTTP interface.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cwendpoint.LoadPath, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		load := p.loadLocked()
		writeJSON(w, load)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /bookings/by-key/{key}", p.serveLookup)
	mux.HandleFunc("/", p.serve)
	return mux
}

func (p *PlainService) serveLookup(w http.ResponseWriter, r *http.Request) {
	if p.Runs(r.PathValue("key")) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, PlainResponse{Endpoint: p.Name, Path: r.URL.Path, Runs: p.Runs(r.PathValue("key"))})
}

// PlainResponse is the body of a response of PlainService.
type PlainResponse struct {
	// Endpoint is the name of the endpoint that responded.
	Endpoint string `json:"endpoint"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Runs is the number of times that the key has run.
	Runs int `json:"runs"`
	// Echo is the body of the request.
	Echo string `json:"echo,omitempty"`
}

func (p *PlainService) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get(cwanswer.HeaderTicket)
	p.mu.Lock()
	p.runningRequests++
	p.runsByKey[key]++
	runs := p.runsByKey[key]
	load := p.loadLocked()
	p.mu.Unlock()
	select {
	case p.startedKeys <- key:
	default:
	}
	p.delayResponse(r)
	p.mu.Lock()
	p.runningRequests--
	p.mu.Unlock()
	w.Header().Set(cwendpoint.LoadHeader, load.HeaderValue())
	writeJSON(w, PlainResponse{Endpoint: p.Name, Path: r.URL.Path, Runs: runs, Echo: strings.ToValidUTF8(string(body), "?")})
}

func (p *PlainService) delayResponse(r *http.Request) {
	if p.BlockUntil != nil {
		select {
		case <-p.BlockUntil:
		case <-r.Context().Done():
		}
	}
	if p.Delay > 0 {
		time.Sleep(p.Delay)
	}
}
