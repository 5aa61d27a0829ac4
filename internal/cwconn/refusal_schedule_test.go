package cwconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// arrival is what a server does with the next request that arrives.
type arrival struct {
	// refuses and isNamed describe the own response; requests that are not refused run.
	refuses, isNamed bool
	// early and idle are numbers of earlier responses of the connection of which copies come before the own
	// response, and after it while the connection is idle. splits sends the first of early between the head
	// and the body of the own response.
	early, idle []int
	splits      bool
	// sendsExtraRefusal sends a refusal that names no request before the own response. One that comes first on
	// a connection, or before the answer to a check, is not told from that of the request.
	sendsExtraRefusal bool
	delay             time.Duration
}

// refusalStep is a request that must run once at most.
type refusalStep struct {
	// servers are those to which it is sent, one after the other, while it is refused.
	servers []int
	pause   time.Duration
	timeout time.Duration
}

func drawArrival(t *rapid.T) arrival {
	copies := rapid.SliceOfN(rapid.IntRange(0, 8), 0, 4)
	return arrival{
		refuses: rapid.Bool().Draw(t, "refuses"), isNamed: rapid.IntRange(0, 3).Draw(t, "isNamed") > 0,
		early: copies.Draw(t, "early"), idle: copies.Draw(t, "idle"), splits: rapid.IntRange(0, 5).Draw(t, "splits") == 0,
		sendsExtraRefusal: rapid.IntRange(0, 5).Draw(t, "extra") == 0,
		delay:             time.Duration(rapid.IntRange(0, 3).Draw(t, "delay")) * 10 * time.Millisecond,
	}
}

func drawRefusalStep(t *rapid.T) refusalStep {
	return refusalStep{
		servers: rapid.SliceOfN(rapid.IntRange(0, 1), 1, 4).Draw(t, "servers"),
		pause:   time.Duration(rapid.IntRange(0, 2).Draw(t, "pause")) * 20 * time.Millisecond,
		timeout: time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * 15 * time.Millisecond,
	}
}

// refusalSchedule plays requests against two servers.
type refusalSchedule struct {
	arrivals []arrival

	mu      sync.Mutex
	arrived int
	runs    map[string]int
}

// TestRefusalSchedule guards against a refusal that is believed and isn't the request's: copies with and without
// identifier come early, late, within other responses and on idle connections. A request then runs
// twice, or after its caller was told that it has not.
func TestRefusalSchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawRefusalStep), 1, 8).Draw(rt, "steps")
		s := &refusalSchedule{arrivals: rapid.SliceOfN(rapid.Custom(drawArrival), 1, 16).Draw(rt, "arrivals"), runs: make(map[string]int)}
		var err error
		synctest.Test(t, func(t *testing.T) { err = s.play(t.Context(), steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func (s *refusalSchedule) play(ctx context.Context, steps []refusalStep) error {
	n := cwmemnet.NewNetwork()
	defer n.Close()
	addresses := []string{"10.0.0.1:80", "10.0.0.2:80"}
	for i, address := range addresses {
		l, err := n.Host(fmt.Sprintf("10.0.0.%d", i+1)).Listen(ctx, address)
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		go s.accept(l)
	}
	pool := cwconn.NewPool(n.Host("10.0.0.3"))
	promised := make(map[string]bool)
	for i, step := range steps {
		id := fmt.Sprint("r", i)
		for _, server := range step.servers {
			if promised[id] = s.send(ctx, pool, addresses[server], id, step.timeout); !promised[id] {
				break
			}
		}
		time.Sleep(step.pause)
	}
	for _, address := range addresses {
		pool.CloseIdle(address)
	}
	time.Sleep(time.Minute) // the servers finish
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, runs := range s.runs {
		if runs > 1 || runs > 0 && promised[id] {
			return fmt.Errorf("request %s ran %d times, promised not to: %t", id, runs, promised[id])
		}
	}
	return nil
}

// send sends a request and reports whether it has certainly not run.
func (s *refusalSchedule) send(ctx context.Context, pool *cwconn.Pool, address, id string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := pool.Do(ctx, newUnsafeCall(address, id))
	if err != nil {
		var callErr *cwconn.CallError
		return errors.As(err, &callErr) && !callErr.Sent
	}
	isRefusal := resp.StatusCode != http.StatusOK
	resp.Discard()
	return isRefusal
}

// newUnsafeCall returns a call that must not run twice, with the check of the platform.
func newUnsafeCall(address, id string) *cwconn.Call {
	newHead := func(path, id string) []byte {
		return []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + cwstandin.RequestIDHeader + ": " + id + "\r\n\r\n")
	}
	newMatch := func(id string, isUnnamed func(status int) bool) func(int, func(string) string) cwconn.Match {
		return func(status int, field func(string) string) cwconn.Match {
			switch named := field(cwstandin.RequestIDHeader); {
			case named == id:
				return cwconn.MatchByName
			case named == "" && isUnnamed(status):
				return cwconn.MatchByOrder
			}
			return cwconn.MatchNone
		}
	}
	checkID := id + "-check"
	return &cwconn.Call{
		Address: address, ID: id, Method: http.MethodGet, NeedsNamedResponses: true,
		EncodeHead:    func() []byte { return newHead("/", id) },
		MatchResponse: newMatch(id, func(status int) bool { return status >= http.StatusMultipleChoices }),
		Check: &cwconn.Check{
			ID: checkID, Method: http.MethodGet, Head: newHead("/health", checkID),
			MatchResponse: newMatch(checkID, func(status int) bool { return status == http.StatusMisdirectedRequest }),
		},
	}
}

func (s *refusalSchedule) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *refusalSchedule) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var sent []string
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(cwstandin.RequestIDHeader)
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(conn, bareMismatch)
			continue
		}
		a := s.nextArrival()
		head, body := s.respond(a, id)
		early := copiesOf(sent, a.early)
		if a.sendsExtraRefusal && len(sent) > 0 {
			early += bareRefusal
		}
		if a.splits {
			head, early = head+early, ""
		}
		_, _ = io.WriteString(conn, early)
		time.Sleep(a.delay)
		_, _ = io.WriteString(conn, head+body)
		if a.isNamed {
			sent = append(sent, head+body)
		}
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(conn, copiesOf(sent, a.idle))
	}
}

func (s *refusalSchedule) nextArrival() arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	return s.arrivals[(s.arrived-1)%len(s.arrivals)]
}

// respond returns the own response to a request, and counts the run.
func (s *refusalSchedule) respond(a arrival, id string) (head, body string) {
	status := "200 OK"
	if a.refuses {
		status, body = "503 Service Unavailable", "full"
	} else {
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		body = "own"
	}
	head = "HTTP/1.1 " + status + "\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n"
	if a.isNamed || !a.refuses {
		head += cwstandin.RequestIDHeader + ": " + id + "\r\n"
	}
	return head + "\r\n", body
}

// copiesOf returns the responses with the given numbers, as far as there are so many.
func copiesOf(responses []string, numbers []int) string {
	var copies strings.Builder
	for _, n := range numbers {
		if n < len(responses) {
			copies.WriteString(responses[n])
		}
	}
	return copies.String()
}
