package cwapp_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// maxLeavingDelay is the time after which a leaving endpoint must get no new requests.
const maxLeavingDelay = 3 * time.Second

func sendLookup(t *testing.T, s *cwscene.Scene, i *cwscene.Instance) cwscene.Response {
	return s.NewCaller().Do(t.Context(), i, cwscene.Request{Method: "GET", Path: "/services/lookup/x"})
}

// TestLeavingEndpointGetsNoNewRequests checks that an endpoint that reports that it is leaving
// is not used any more, although the platform still lists it.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		leaving := cwstandin.NewPlainService("leaving", 0)
		s.AddEndpoint("north-a", "10.1.0.6", "lookup", leaving.Handler())
		s.Await(func() bool {
			sendLookup(t, s, p.a)
			total, _ := leaving.TotalRuns()
			return total > 0
		})
		leaving.SetLeaving(true) // the platform's list still shows it as live
		time.Sleep(maxLeavingDelay)
		before, _ := leaving.TotalRuns()
		for range 50 {
			is.Equal(sendLookup(t, s, p.a).Status, 200)
			is.Equal(sendLookup(t, s, p.b).Status, 200)
			time.Sleep(200 * time.Millisecond)
		}
		after, _ := leaving.TotalRuns()
		is.Equal(after, before)
	})
}

// TestEndpointRestartedAtSameAddressIsUsedAgain checks that the leaving state of an endpoint
// does not apply to the process that replaces it at the same address.
func TestEndpointRestartedAtSameAddressIsUsedAgain(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		old := cwstandin.NewPlainService("old", 0)
		time.Sleep(time.Second) // the incarnation of a stand-in is the time at which it was created
		replacement := cwstandin.NewPlainService("fresh", 0)
		current := &atomic.Pointer[cwstandin.PlainService]{}
		current.Store(old)
		s.AddEndpoint("north-a", "10.1.0.5", "lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			current.Load().Handler().ServeHTTP(w, r)
		}))
		s.Publish()
		s.AwaitReady()
		old.SetLeaving(true)
		time.Sleep(maxLeavingDelay)
		is.Equal(sendLookup(t, s, i).Status, 503)
		current.Store(replacement)
		time.Sleep(maxLeavingDelay)
		is.Equal(sendLookup(t, s, i).Status, 200)
	})
}

// TestShutdownCompletesStreams checks that a stream in progress is completed while its
// instance shuts down, and that new requests are refused and directed to another instance.
func TestShutdownCompletesStreams(t *testing.T) {
	inScene(t, services(cwscene.NewChatService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", newEngine().Handler())
		s.Publish()
		a := s.AddInstance("10.1.0.1", "north", "north-a")
		b := s.AddInstance("10.1.0.2", "north", "north-a")
		s.AwaitReady()
		done := make(chan cwscene.Response)
		go func() { done <- sendChat(t, s, a, 500) }() // streams for ten seconds
		time.Sleep(time.Second)
		a.Stop()
		time.Sleep(time.Second)
		refused := sendChat(t, s, a, 1)
		is.Equal(refused.Status, 503)
		is.Equal(decodeProblem(refused).Outcome, cwanswer.NotRun)
		is.Equal(decodeProblem(refused).Instances[0].Address, b.Settings.CallerAddress)
		// The other instance no longer lists the leaving one.
		listResp := s.NewCaller().Do(t.Context(), b, cwscene.Request{Method: "GET", Path: "/v1/instances"})
		is.Equal(listResp.Body, "{\"instances\":[{\"address\":\"10.1.0.2:7080\",\"region\":\"north\",\"weight\":1}],\"holdSeconds\":10}\n")
		checkTokens(is, <-done, 500)
		<-a.Done()
	})
}

// TestRequestReadAtTheEndOfShutdownIsAnswered guards against requests that are read and
// dropped at the end of a shutdown: the connection is accepted before the listener closes,
// and its request arrives after that. The caller must learn that the request was not run.
func TestRequestReadAtTheEndOfShutdownIsAnswered(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddEndpoint("north-a", "10.1.0.6", "lookup", cwstandin.NewPlainService("plain", 0).Handler())
		p := newInstancePair(s, "lookup")
		s.Net.SetDelay(cwscene.CallerIP, "10.1.0.1", 80*time.Millisecond)
		const stopAt = 100
		errs := sendAtIntervals(2*stopAt, 5*time.Millisecond, func(n int) error {
			if n == stopAt {
				p.a.Stop()
			}
			return sendLookup(t, s, p.a).Err
		})
		checkAnsweredOrRefused(t, is, errs)
		<-p.a.Done()
	})
}

// TestRequestAtTheEndOfDrainTimeoutIsAnswered guards against requests whose connection is closed
// without a response because they take longer than the drain timeout. The caller must learn
// whether the request may have run.
func TestRequestAtTheEndOfDrainTimeoutIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting int
		outcome cwanswer.Outcome
		status  int
	}{
		{"at the endpoint", 0, cwanswer.Unknown, http.StatusBadGateway},
		{"in the queue", 1, cwanswer.NotRun, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				plain := cwstandin.NewPlainService("plain", 0)
				plain.BlockUntil = make(chan struct{})
				plain.SetSlots(1)
				s.AddEndpoint("north-a", "10.1.0.5", "lookup", plain.Handler())
				s.Publish()
				i := s.AddInstance("10.1.0.1", "north", "north-a", "--drain-timeout=1s")
				s.AwaitReady()
				responses := make([]cwscene.Response, c.waiting+1)
				var wg sync.WaitGroup
				for n := range responses {
					wg.Go(func() { responses[n] = sendLookup(t, s, i) })
					time.Sleep(100 * time.Millisecond)
				}
				i.Stop()
				<-i.Done()
				wg.Wait()
				last := responses[c.waiting]
				is.NoErr(last.Err)
				is.Equal(last.Status, c.status)
				is.Equal(decodeProblem(last).Outcome, c.outcome)
			})
		})
	}
}
