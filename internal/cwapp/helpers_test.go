package cwapp_test

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// inScene runs a test in a scene inside a synctest bubble, with a fake clock.
func inScene(t *testing.T, services []cwservice.Service, run func(t *testing.T, is *is.I, s *cwscene.Scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := cwscene.NewScene(t, services...)
		defer s.Close()
		run(t, is.New(t), s)
	})
}

// instancePair is a scene with one region that has two instances, with one plain service as
// their endpoint.
type instancePair struct {
	*cwscene.Scene
	a, b  *cwscene.Instance
	plain *cwstandin.PlainService
}

func newInstancePair(s *cwscene.Scene, pool string) *instancePair {
	p := &instancePair{Scene: s, plain: cwstandin.NewPlainService("plain", 0)}
	s.AddEndpoint("north-a", "10.1.0.5", pool, p.plain.Handler())
	s.Publish()
	p.a = s.AddInstance("10.1.0.1", "north", "north-a")
	p.b = s.AddInstance("10.1.0.2", "north", "north-a")
	s.AwaitReady()
	return p
}

func services(list ...cwservice.Service) []cwservice.Service { return list }

// decodeProblem decodes the problem in a response. It returns the zero value if there is none.
func decodeProblem(resp cwscene.Response) cwanswer.Problem {
	problem := cwanswer.Problem{}
	_ = json.Unmarshal([]byte(resp.Body), &problem)
	return problem
}

// chatBodyFormat is the body of a streamed chat request; %d is the number of tokens.
const chatBodyFormat = `{"model":"chat-model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`

func newRecorder() *httptest.ResponseRecorder { return httptest.NewRecorder() }

// sendAtIntervals calls send count times at an interval, each in its own goroutine, and returns
// their errors.
func sendAtIntervals(count int, interval time.Duration, send func(n int) error) []error {
	var wg sync.WaitGroup
	errs := make([]error, count)
	for n := range errs {
		wg.Go(func() { errs[n] = send(n) })
		time.Sleep(interval)
	}
	wg.Wait()
	return errs
}

// checkAnsweredOrRefused checks that each request was answered or found its listener closed, and
// that there were both.
func checkAnsweredOrRefused(t *testing.T, is *is.I, errs []error) {
	t.Helper()
	answered, refused := 0, 0
	for n, err := range errs {
		switch {
		case err == nil:
			answered++
		case strings.Contains(err.Error(), "connection refused"):
			refused++
		default:
			t.Errorf("request %d of %d: %v", n, len(errs), err)
		}
	}
	is.True(answered > 0)
	is.True(refused > 0) // the requests continue until the listener is closed
}
