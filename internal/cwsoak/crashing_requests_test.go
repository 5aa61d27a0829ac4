package cwsoak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// crashPeriod is how long requests come that end workers, and crashInterval the mean time
	// between two of them. Instances are disturbed in the first crashDisturbance.
	crashPeriod      = 16 * time.Second
	crashInterval    = 500 * time.Millisecond
	crashDisturbance = 5 * time.Second
	// workerReturn is the time after which a worker that ended is back.
	workerReturn = 2500 * time.Millisecond
	// crashContactTime is the time in which all instances must know what ends workers, and
	// maxLateCrashers the number of such requests that may reach workers later.
	crashContactTime = 6 * time.Second
	maxLateCrashers  = 3
	// soundPromptInterval is the time between two sound requests with the same parts.
	soundPromptInterval = 50 * time.Millisecond
	// crashingPart is the part of prompts that ends workers, and crashingBody the body of the
	// request that does.
	crashingPart = "bad0"
	crashingBody = "body of the request that ends workers"
)

// crashLog records which workers ended under requests, and when.
type crashLog struct {
	mu   sync.Mutex
	ends []time.Time
}

// runCrashingRequests sends requests with a part in their prompts that ends each worker, and one
// that does and is the same each time, beside sound ones with the same other parts, while instances
// are killed, paused and reconfigured.
func (s *soakRun) runCrashingRequests(rng *rand.Rand) {
	log := &crashLog{}
	for n, w := range s.workers {
		w.SetCrash(&cwstandin.Crash{
			Matches: func(r *http.Request, body string) bool { return endsWorkers(r.Header, body) },
			After:   50 * time.Millisecond, Prelude: cwstandin.CrashPrelude(rng.IntN(int(cwstandin.PreludeUndelimited) + 1)),
			End: func() { s.crashWorker(n, log) },
		})
	}
	var wg sync.WaitGroup
	start := time.Now()
	served, refused, sound := 0, 0, 0
	var mu sync.Mutex
	senderRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
	wg.Go(func() {
		for n := 0; time.Since(start) < crashPeriod; n++ {
			p := s.instances[senderRNG.IntN(len(s.instances))]
			wg.Go(func() { s.sendPrompt(p, fmt.Sprintf("f1:30,d%d:20,%s:10,c%d:30", n%5, crashingPart, n)) })
			other := s.instances[senderRNG.IntN(len(s.instances))]
			wg.Go(func() { s.sendCrashingRequest(other) })
			<-time.After(crashInterval/2 + time.Duration(senderRNG.Int64N(int64(crashInterval))))
		}
	})
	wg.Go(func() {
		for n := 0; time.Since(start) < crashPeriod; n++ {
			p := s.instances[n%len(s.instances)]
			wg.Go(func() {
				sentAt := time.Now()
				resp := s.sendPrompt(p, fmt.Sprintf("f1:30,d%d:30,a%d:30", n%5, n))
				mu.Lock()
				defer mu.Unlock()
				if strings.HasPrefix(resp.body, "endsEndpoints") {
					refused++
				}
				if sentAt.Sub(start) < crashPeriod/2 {
					return
				}
				sound++
				if resp.err == nil && resp.status == http.StatusOK {
					served++
				}
			})
			<-time.After(soundPromptInterval)
		}
	})
	for time.Since(start) < crashDisturbance {
		p := s.instances[rng.IntN(len(s.instances))]
		switch rng.IntN(4) {
		case 0:
			p.stop(syscall.SIGKILL)
			p.start()
		case 1:
			p.pause(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		case 2:
			s.publishConfig()
		case 3:
			s.crashWorker(rng.IntN(len(s.workers)), nil)
		}
		<-time.After(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
	}
	disturbedUntil := time.Now()
	// No instance that starts may tell the others of the change.
	s.changeKeys(rand.New(rand.NewPCG(s.seed, 21)), silentStore, nil)
	wg.Wait()
	<-time.After(workerReturn)
	for _, w := range s.workers {
		w.SetCrash(nil)
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	s.t.Logf("%d workers ended under requests; of %d sound requests %d served, %d refused as the cause", len(log.ends), sound, served, refused)
	if refused > 0 || served < sound/2 {
		s.t.Errorf("sound requests beside those that end workers: %d refused as the cause, %d of %d served", refused, served, sound)
	}
	s.checkLateCrashers(log.ends, disturbedUntil)
}

// checkLateCrashers checks how many requests that end workers reached workers when all instances
// must have known them.
func (s *soakRun) checkLateCrashers(ends []time.Time, disturbedUntil time.Time) {
	if len(ends) == 0 {
		s.t.Error("no worker ended under a request")
		return
	}
	slices.SortFunc(ends, time.Time.Compare)
	// Both kinds come at the same rate: of ten ends five are of one part, or three of one request.
	from := ends[min(len(ends), 10)-1]
	if disturbedUntil.After(from) {
		from = disturbedUntil
	}
	late := make(map[string]int)
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			if endsWorkers(run.Header, run.Body) && run.ReceivedAt.After(from.Add(crashContactTime)) {
				late[run.Path]++
			}
		}
	}
	for path, n := range late {
		if n > maxLateCrashers {
			s.t.Errorf("%d requests to %s that end workers reached workers %v after all must have known them, want at most %d", n, path, crashContactTime, maxLateCrashers)
		}
	}
}

// crashWorker ends a worker, unless it has ended, and brings it back cold with a new start some
// seconds later.
func (s *soakRun) crashWorker(n int, log *crashLog) {
	if !s.workerProxies[n].end() {
		return
	}
	if log != nil {
		log.mu.Lock()
		log.ends = append(log.ends, time.Now())
		log.mu.Unlock()
	}
	time.AfterFunc(workerReturn, func() {
		s.workerProxies[n].listen()
		s.observers[n].restarted()
		s.registerWorker(n, "ready")
	})
}

// sendPrompt sends a request for a stream with the parts of its prompt on a new connection.
func (s *soakRun) sendPrompt(p *gatewayProcess, parts string) response {
	req := s.newRequest(p, requestKind{route: "flow", tokens: "90,30"})
	req.Header.Set("Clementinewell-Prompt-Prefix", parts)
	conn, err := dialInstance(p)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = conn.Close() }()
	return conn.exchange(req, 0)
}

// sendCrashingRequest sends the request that ends workers, the same each time, on a new
// connection.
func (s *soakRun) sendCrashingRequest(p *gatewayProcess) {
	req := s.newRequest(p, requestKind{route: "safe"})
	req.Body = io.NopCloser(strings.NewReader(crashingBody))
	req.ContentLength = int64(len(crashingBody))
	conn, err := dialInstance(p)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	conn.exchange(req, 0)
}

// endsWorkers reports whether a request ends workers, by a part of its prompt or as a whole.
func endsWorkers(h http.Header, body string) bool {
	return strings.Contains(h.Get("Clementinewell-Prompt-Prefix"), crashingPart+":") || body == crashingBody
}
