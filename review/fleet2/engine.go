package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine stands in for a model worker. It drops a request when the connection of the request closes.
type engine struct {
	id, version string
	born        int64
	events      int
	interval    time.Duration

	mu sync.Mutex
	// running are the requests in progress, with the events made.
	running map[string]int
}

func newEngine(id, version string, born int64, events int, interval time.Duration) *engine {
	return &engine{id: id, version: version, born: born, events: events, interval: interval, running: make(map[string]int)}
}

// ServeHTTP answers a request, a health check or a report.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Clementinewell-Request-Id")
	if id != "" {
		w.Header().Set("Clementinewell-Request-Id", id)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	switch expected := r.Header.Get("Clementinewell-Expected-Instance"); {
	case r.URL.Path == "/v1/report":
		e.serveReport(w)
	case expected != "" && expected != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/health":
		w.Header().Set("Clementinewell-Instance-Id", e.id)
		w.Header().Set("Clementinewell-Cold-Ms", "0")
	default:
		w.Header().Set("Clementinewell-Response-Signature", e.id+"."+id)
		if r.Header.Get("Clementinewell-Token-Count") == "" {
			_, _ = io.WriteString(w, "answer to "+id)
			return
		}
		e.serveStream(w, r, id)
	}
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, id)
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.interval):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.version)
		_ = http.NewResponseController(w).Flush()
		e.mu.Lock()
		e.running[id] = n
		e.mu.Unlock()
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	runs := [][]any{}
	for id, events := range e.running {
		runs = append(runs, []any{id, 200, events, 5})
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
		"queued": 0, "running": len(runs), "kv-used": 0, "kv-total": 339156, "handles": 0, "born": e.born, "runs": runs,
	})
}

// addEngine starts a model worker of a service in a zone and writes its entry.
func (f *fleet) addEngine(service string, zone, number, events int, interval time.Duration) error {
	w := &worker{service: service, zone: places[zone].zone, version: "v1", address: f.ip(100+zone, number) + ":8080", born: time.Now().UnixMilli()}
	id := fmt.Sprintf("i-%s-%d-%d", service, zone, number)
	if err := w.listen(newEngine(id, w.version, w.born, events, interval)); err != nil {
		return err
	}
	f.put(id, w, "ready")
	return nil
}
