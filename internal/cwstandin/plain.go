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

// Plain stands in for a plain service. It counts the runs for each key, so that
// a doubled request shows.
type Plain struct {
	presence
	// Name is the address that answers name.
	Name string
	// Delay is the time that each request takes.
	Delay time.Duration
	// Hold, if set, is waited for before each answer.
	Hold chan struct{}

	runs    map[string]int
	started chan string
}

const startedBuffer = 4096

// NewPlain returns a service that answers under a name.
func NewPlain(name string, delay time.Duration) *Plain {
	return &Plain{
		Name: name, Delay: delay,
		presence: presence{incarnation: uint64(time.Now().UnixNano()), slots: plainSlots},
		runs:     make(map[string]int),
		started:  make(chan string, startedBuffer),
	}
}

// Runs returns how often the request with the key ran.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// TotalRuns returns how many requests ran, and how many keys ran more than once.
func (p *Plain) TotalRuns() (total, doubled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, n := range p.runs {
		total += n
		if n > 1 && key != "" {
			doubled++
		}
	}
	return total, doubled
}

// Started tells the key of each request as it begins to run.
func (p *Plain) Started() <-chan string {
	return p.started
}

// Handler returns the service's interface.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cwendpoint.LoadPath, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		load := p.load()
		writeJSON(w, load)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /bookings/by-key/{key}", p.serveLookup)
	mux.HandleFunc("/", p.serve)
	return mux
}

func (p *Plain) serveLookup(w http.ResponseWriter, r *http.Request) {
	if p.Runs(r.PathValue("key")) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, PlainAnswer{Endpoint: p.Name, Path: r.URL.Path, Runs: p.Runs(r.PathValue("key"))})
}

// PlainAnswer is what the stand-in answers.
type PlainAnswer struct {
	// Endpoint is the one that answered.
	Endpoint string `json:"endpoint"`
	// Path is the path that was asked for.
	Path string `json:"path"`
	// Runs is how often the key has run.
	Runs int `json:"runs"`
	// Echo is the body of the request.
	Echo string `json:"echo,omitempty"`
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get(cwanswer.HeaderTicket)
	p.mu.Lock()
	p.running++
	p.runs[key]++
	runs := p.runs[key]
	load := p.load()
	p.mu.Unlock()
	select {
	case p.started <- key:
	default:
	}
	p.wait(r)
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	w.Header().Set(cwendpoint.LoadHeader, load.HeaderValue())
	writeJSON(w, PlainAnswer{Endpoint: p.Name, Path: r.URL.Path, Runs: runs, Echo: strings.ToValidUTF8(string(body), "?")})
}

func (p *Plain) wait(r *http.Request) {
	if p.Hold != nil {
		select {
		case <-p.Hold:
		case <-r.Context().Done():
		}
	}
	if p.Delay > 0 {
		time.Sleep(p.Delay)
	}
}
