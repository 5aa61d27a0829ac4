package cwstandin

import (
	"encoding/json"
	"net/http"
	"slices"
)

// ReportPath is where a worker reports on itself.
const ReportPath = "/v1/report"

// workerReport is what a worker reports: its start, and its streams in progress with the events made.
type workerReport struct {
	bornMillis int64
	runs       map[string]int
}

// SetBorn sets the start that the worker reports; it should be that of its entry.
func (w *Worker) SetBorn(millis int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.bornMillis = millis
}

// SetReportedRun makes the worker report a stream in progress with a number of events; a negative
// number ends it.
func (w *Worker) SetReportedRun(id string, events int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.report.runs == nil {
		w.report.runs = make(map[string]int)
	}
	w.report.runs[id] = events
	if events < 0 {
		delete(w.report.runs, id)
	}
}

func (w *Worker) serveReport(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := [][]any{}
	for id, events := range w.report.runs {
		runs = append(runs, []any{id, 100, events, 5})
	}
	slices.SortFunc(runs, func(a, b []any) int { return a[2].(int) - b[2].(int) })
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"phase": "both", "running": len(runs), "born": w.report.bornMillis, "runs": runs})
}
