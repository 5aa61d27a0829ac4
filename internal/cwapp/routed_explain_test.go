package cwapp_test

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// explain returns where a request would go according to an instance. more are further fields of the
// query.
func explain(t *testing.T, s *cwscene.RoutedScene, i *cwscene.RoutedInstance, path string, more ...string) cwgate.RequestExplanation {
	t.Helper()
	query := url.Values{"host": {cwscene.RouteHost}, "path": {path}}
	for n := 0; n+1 < len(more); n += 2 {
		query.Set(more[n], more[n+1])
	}
	var x cwgate.RequestExplanation
	if err := json.Unmarshal([]byte(s.FetchAdmin(t, i, "/explain?"+query.Encode())), &x); err != nil {
		t.Fatal(err)
	}
	return x
}

// TestRequestGoesWhereExplained guards against an explanation that sends or counts something, and
// against a request that goes elsewhere than explained although one endpoint is clearly best: it has
// the prompt in its cache.
func TestRequestGoesWhereExplained(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "unsafe", nil))
		workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2"), s.AddWorker("north-a", "10.1.1.3")}
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		prompt := []string{"promptTokens", "900", "outputTokens", "60", "parts", "a1:500,b2:400"}
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()}).Status, http.StatusOK)
		time.Sleep(2 * time.Second)
		runs := len(collectRuns(workers))
		var x cwgate.RequestExplanation
		for range 20 {
			x = explain(t, s, i, "/r/x", prompt...)
		}
		is.Equal(len(collectRuns(workers)), runs)
		is.Equal(x.Placement.Action, "send")
		is.Equal(x.Route, "r")
		is.Equal(x.Inputs.ConfigVersion, uint64(1))
		is.Equal(len(x.Placement.Endpoints), len(workers))
		is.Equal(x.Placement.Endpoints[0].ID, x.Placement.Place)
		is.Equal(x.Placement.Endpoints[0].RecomputedTokens, 0)
		is.True(!x.Placement.Endpoints[1].IsSimilar)
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()}).Status, http.StatusOK)
		is.Equal(len(collectRuns(workers)), runs+1)
		chosen := slices.IndexFunc(workers, func(w *cwstandin.Worker) bool { return w.ID == x.Placement.Place })
		is.Equal(len(workers[chosen].Runs()), runs+1)
	})
}

// TestRequestIsRelayedWhereExplained guards against an explanation that omits other regions: the
// route's home is another one.
func TestRequestIsRelayedWhereExplained(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		north, south := s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("south-a", "10.3.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AddInstance("10.3.0.1", "south-a")
		s.AwaitReady()
		time.Sleep(5 * time.Second) // the capacities arrive
		x := explain(t, s, i, "/r/x")
		is.Equal(x.Placement.Action, "relay")
		is.Equal(x.Placement.Place, "south-a")
		is.Equal(x.RouteHomes, []string{"south"})
		is.Equal(x.Placement.Endpoints[0].Exclusion, cwplacement.ExcludedRegion)
		is.Equal(len(x.Placement.Domains), 1)
		is.True(x.Placement.Domains[0].SummaryAgeSeconds < 4)
		is.Equal(len(south.Runs()), 0)
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		is.Equal(len(south.Runs()), 1)
		is.Equal(len(north.Runs()), 0)
	})
}

// TestExplanationNamesWhatBounds guards against an explanation that omits accounts, homes or other
// shares, or that shows a key.
func TestExplanationNamesWhatBounds(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		account := cwstandin.NewPublishedAccount("a", "secret-a")
		account["home-regions"] = []string{"south"}
		s.Accounts = []map[string]any{account}
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		x := explain(t, s, i, "/r/x", "account", "a")
		is.Equal(x.Account, "a")
		is.Equal(x.AccountHomes, []string{"south"})
		is.Equal(x.Service, "app")
		is.Equal(x.Placement.Action, "refuse")
		is.Equal(x.Placement.Endpoints[0].Exclusion, cwplacement.ExcludedRegion)
		is.True(!strings.Contains(s.FetchAdmin(t, i, "/explain?host="+cwscene.RouteHost+"&path=/r/x&account=a"), "secret"))
		is.Equal(len(collectRuns(workers)), 0)
	})
}

// TestExplanationIsRefusedWithCause checks the errors of calls that can't be explained.
func TestExplanationIsRefusedWithCause(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-a")}
		i, _ := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		host := "host=" + cwscene.RouteHost
		for _, sc := range []struct {
			name, query string
			status      int
			message     string
		}{
			{"no host", "path=/r/x", 400, "name host and path"},
			{"unknown route", host + "&path=/other/x&account=a", 404, `path "/other/x": not in the configuration in force`},
			{"unknown account", host + "&path=/r/x&account=b", 404, `account "b": not in the configuration in force`},
			{"no account", host + "&path=/r/x", 400, "name an account"},
			{"negative tokens", host + "&path=/r/x&account=a&promptTokens=-1", 400, "promptTokens"},
			{"no number", host + "&path=/r/x&account=a&timeoutMillis=1s", 400, "timeoutMillis"},
			{"wrong parts", host + "&path=/r/x&account=a&parts=x", 400, "parts"},
		} {
			status, body := fetchExplain(t, s, i, sc.query)
			t.Log(sc.name, status, body)
			is.Equal(status, sc.status)
			is.True(strings.Contains(body, sc.message))
		}
	})
}

// fetchExplain returns the status and the body of an answer of the operator interface.
func fetchExplain(t *testing.T, s *cwscene.RoutedScene, i *cwscene.RoutedInstance, query string) (int, string) {
	t.Helper()
	transport := &http.Transport{DialContext: s.Net.Host(cwscene.CallerIP).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("http://" + i.Settings.AdminAddress + "/explain?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// TestExplanationShowsQuota guards against an explanation that uses the quota itself, that differs from
// what happens to the request, or that omits what is left.
func TestExplanationShowsQuota(t *testing.T) {
	// An instance starts with a part of the burst: this account has all of it after that time.
	const quotaStartTime = 10 * time.Second
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		limited := cwstandin.NewPublishedAccount("limited", "secret-a")
		limited["unit"], limited["rate-per-s"], limited["burst"] = "requests", 0.5, 6
		s.Accounts = []map[string]any{limited, cwstandin.NewPublishedAccount("free", "secret-b")}
		i, _ := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		time.Sleep(startupTime + quotaStartTime)
		is.Equal(explain(t, s, i, "/r/x", "account", "free").Quota, nil)
		previous, allowed := *explain(t, s, i, "/r/x", "account", "limited").Quota, 0
		is.Equal(previous.Unit, "requests")
		is.Equal(previous.PerSecond, 0.5)
		is.Equal(previous.Amount, 1.0)
		is.Equal(previous.ShareInContact, 1.0)
		for {
			var q cwgate.QuotaExplanation
			for range 5 {
				q = *explain(t, s, i, "/r/x", "account", "limited").Quota
			}
			is.True(allowed == 0 || q.Level < previous.Level)
			is.True(q.Spendable <= q.Level)
			previous = q
			resp := s.Do(t.Context(), i, withKey("/r/x", "secret-a"))
			is.Equal(resp.Status == http.StatusOK, q.IsAllowed)
			if resp.Status != http.StatusOK {
				is.Equal(resp.Status, http.StatusTooManyRequests)
				seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(q.RetryAfterSeconds > 0 && math.Abs(q.RetryAfterSeconds-seconds) < 0.1)
				break
			}
			allowed++
		}
		is.True(allowed >= 6)
	})
}
