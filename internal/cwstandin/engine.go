package cwstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
)

// EngineOptions configure a stand-in engine.
type EngineOptions struct {
	// Model is the model that is loaded at start.
	Model string
	// Slots is the number of requests that run concurrently.
	Slots int
	// PromptTokensPerSecond is the speed of prompt processing. Prompts are processed
	// one at a time.
	PromptTokensPerSecond float64
	// TokenInterval is the time between two generated tokens of a request.
	TokenInterval time.Duration
	// Tokens is the number of tokens of a response if the request sets none.
	Tokens int
	// CachedPrefixes is the number of prompt prefixes that the prefix cache holds.
	CachedPrefixes int
	// LoadTime is the time to load a model.
	LoadTime time.Duration
	// IgnoreFencing makes the engine execute orders with an outdated fencing number.
	IgnoreFencing bool
}

// Engine stands in for a model engine with an OpenAI-style interface.
type Engine struct {
	endpointState
	// Name is the name under which the engine was created.
	Name    string
	options EngineOptions

	slotSemaphore chan struct{}
	// promptSemaphore has one slot: prompts are processed one at a time.
	promptSemaphore  chan struct{}
	cache            *prefixCache
	streams          map[string]*engineStream
	model            string
	isLoading        bool
	fencingNumber    uint64
	waitingRequests  int
	waitingTokens    int
	cancelledStreams int
}

// NewEngine returns an engine with its model loaded.
func NewEngine(name string, options EngineOptions) *Engine {
	return &Engine{
		Name: name, options: options,
		endpointState:   endpointState{incarnation: uint64(time.Now().UnixNano()), slots: options.Slots},
		slotSemaphore:   make(chan struct{}, options.Slots),
		promptSemaphore: make(chan struct{}, 1),
		cache:           newPrefixCache(options.CachedPrefixes),
		streams:         make(map[string]*engineStream),
		model:           options.Model,
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cwendpoint.LoadPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Load()) })
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET "+cwendpoint.StreamsPath+"{id}", e.serveResume)
	mux.HandleFunc("DELETE "+cwendpoint.StreamsPath+"{id}", e.serveCancel)
	mux.HandleFunc("POST "+cwendpoint.OrdersPath, e.serveOrder)
	return mux
}

// Load returns the current load report.
func (e *Engine) Load() cwendpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loadLocked()
	load.WaitingRequests, load.WaitingTokens = e.waitingRequests, e.waitingTokens
	load.IsLoading, load.FencingNumber = e.isLoading, e.fencingNumber
	if !e.isLoading {
		load.LoadedModels = []string{e.model}
	}
	return load
}

// CancelledStreams returns the number of cancel requests for streams of this engine.
func (e *Engine) CancelledStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelledStreams
}

// completionRequest is the part of a request that the engine evaluates.
type completionRequest struct {
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    string          `json:"prompt"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	req := completionRequest{}
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = e.options.Tokens
	}
	prompt := string(req.Messages) + req.Prompt
	load := e.Load()
	w.Header().Set(cwendpoint.LoadHeader, load.HeaderValue())
	attempt := r.Header.Get(cwendpoint.AttemptHeader)
	w.Header().Set(cwendpoint.AttemptHeader, attempt)
	stream := e.startGeneration(attempt, prompt, req.MaxTokens)
	if req.Stream {
		e.serveStream(w, r, stream, 0)
		return
	}
	e.serveBuffered(w, r, stream)
}

// startGeneration starts a generation that continues without its caller until it is
// complete or cancelled. Under a non-empty identifier it can be resumed and cancelled.
func (e *Engine) startGeneration(id, prompt string, tokens int) *engineStream {
	s := newEngineStream(tokens)
	e.mu.Lock()
	if id != "" {
		e.streams[id] = s
	}
	e.mu.Unlock()
	go e.generate(s, prompt)
	return s
}

func (e *Engine) generate(s *engineStream, prompt string) {
	uncached := e.cache.countUncachedTokens(prompt)
	e.adjustLoad(1, uncached, 0)
	e.slotSemaphore <- struct{}{}
	e.adjustLoad(-1, 0, 1)
	e.promptSemaphore <- struct{}{}
	time.Sleep(time.Duration(float64(uncached) / e.options.PromptTokensPerSecond * float64(time.Second)))
	<-e.promptSemaphore
	e.cache.add(prompt)
	e.adjustLoad(0, -uncached, 0)
	for s.addToken() {
		time.Sleep(e.options.TokenInterval)
	}
	<-e.slotSemaphore
	e.adjustLoad(0, 0, -1)
}

// adjustLoad adds to the numbers of waiting requests, waiting tokens and running
// requests.
func (e *Engine) adjustLoad(waiting, tokens, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waitingRequests += waiting
	e.waitingTokens += tokens
	e.runningRequests += running
}

// serveStream sends a generation as events, from the token with index first. The
// identifier of an event is the number of tokens up to it.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *engineStream, first int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := first; ; i++ {
		ok, err := s.waitForToken(r.Context(), i)
		if err != nil {
			return
		}
		if !ok {
			break
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, e.formatChunk(i))
		_ = rc.Flush()
	}
	fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", s.totalTokens+1)
}

func (e *Engine) formatChunk(i int) string {
	return fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":"t%d "}}]}`, e.options.Model, i)
}

// serveBuffered sends a generation as one response once it is complete.
func (e *Engine) serveBuffered(w http.ResponseWriter, r *http.Request, s *engineStream) {
	text := ""
	for i := 0; ; i++ {
		ok, err := s.waitForToken(r.Context(), i)
		if err != nil {
			return
		}
		if !ok {
			break
		}
		text += "t" + strconv.Itoa(i) + " "
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"id":"c","object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`,
		e.options.Model, text, s.totalTokens)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.serveStream(w, r, s, first)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	if s != nil {
		e.cancelledStreams++
	}
	e.mu.Unlock()
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.stop()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	order := cwendpoint.OrderMessage{}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingNumber < e.fencingNumber && !e.options.IgnoreFencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencingNumber = order.FencingNumber
	if e.model == order.Model || e.isLoading {
		return
	}
	e.isLoading = true
	time.AfterFunc(e.options.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.model, e.isLoading = order.Model, false
	})
}
