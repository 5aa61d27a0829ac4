package cwapp_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// configApplyTime is the time of the users' platform by which instances in touch apply a
// configuration.
const configApplyTime = 5 * time.Second

// withKey returns a request with a caller's key.
func withKey(path, key string, header ...string) cwscene.RoutedRequest {
	return cwscene.RoutedRequest{Path: path, Header: append(header, cwstandin.KeyHeader, "Token "+key)}
}

// TestKeyDecidesAboutRequest guards against a request that runs without an accepted key, against one
// that is refused with one, against a key that reaches an endpoint, and against an account that the
// caller chooses.
func TestKeyDecidesAboutRequest(t *testing.T) {
	for _, sc := range []struct {
		name    string
		request cwscene.RoutedRequest
		// account is the one that the endpoint is told; empty without a run.
		account string
		status  int
		reason  string
	}{
		{"key", withKey("/r/x", "secret-a1"), "a", 200, ""},
		{"second key", withKey("/r/x", "secret-a2"), "a", 200, ""},
		{"key of another account", withKey("/r/x", "secret-b"), "b", 200, ""},
		{"scheme in lower case", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Authorization", "token  secret-a1 "}}, "a", 200, ""},
		{"account chosen by the caller", withKey("/r/x", "secret-a1", cwstandin.AccountHeader, "b"), "a", 200, ""},
		{"account as of another instance", withKey("/r/x", "secret-none", "Clementinewell-Relayed-Account", "a", "Clementinewell-Relayed-Config", "99", "Clementinewell-Relayed-Key", cwroute.Fingerprint("secret-a1")), "", 401, "keyUnknown"},
		{"unknown key", withKey("/r/x", "secret-none"), "", 401, "keyUnknown"},
		{"part of a key", withKey("/r/x", "secret-a"), "", 401, "keyUnknown"},
		{"no key", cwscene.RoutedRequest{Path: "/r/x"}, "", 401, "keyMissing"},
		{"other scheme", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Authorization", "Bearer secret-a1"}}, "", 401, "keyMalformed"},
		{"scheme alone", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Authorization", "Token"}}, "", 401, "keyMalformed"},
		{"fingerprint in place of the key", withKey("/r/x", cwroute.Fingerprint("secret-a1")), "", 401, "keyUnknown"},
		{"public", cwscene.RoutedRequest{Path: "/public/x", Header: []string{cwstandin.AccountHeader, "a"}}, "", 200, ""},
		{"public with a key", withKey("/public/x", "secret-a1"), "a", 200, ""},
		{"public with an unknown key", withKey("/public/x", "secret-none"), "", 200, ""},
		{"no route", withKey("/other/x", "secret-a1"), "", 404, "noRoute"},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-a1", "secret-a2"), cwstandin.NewPublishedAccount("b", "secret-b")}
				i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil), cwscene.NewRoute("public", "unsafe", cwscene.RoutedRoute{"public": true}))
				resp := s.Do(t.Context(), i, sc.request)
				is.NoErr(resp.Err)
				is.Equal(resp.Status, sc.status)
				runs := collectRuns(workers)
				is.Equal(len(runs) == 1, sc.status == http.StatusOK)
				requireNoKey(is, runs)
				if sc.status != http.StatusOK {
					is.Equal(strings.TrimSpace(resp.Body), sc.reason)
					is.Equal(resp.Header.Get("WWW-Authenticate") == "Token", sc.status == http.StatusUnauthorized)
					return
				}
				is.Equal(strings.Join(runs[0].Header.Values(cwstandin.AccountHeader), ","), sc.account)
			})
		})
	}
}

// TestWithoutAccountsNothingIsAsked guards against a configuration without accounts whose callers are
// refused or lose the field for keys, and against an account that a caller made up.
func TestWithoutAccountsNothingIsAsked(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Authorization", "Bearer own", cwstandin.AccountHeader, "a"}})
		is.Equal(resp.Status, http.StatusOK)
		run := collectRuns(workers)[0]
		is.Equal(run.Header.Get("Authorization"), "Bearer own")
		is.Equal(run.Header.Get(cwstandin.AccountHeader), "")
	})
}

// TestAccountIsNamedInEveryAttempt guards against a retry or a resumed stream that names no account
// or passes the key on.
func TestAccountIsNamedInEveryAttempt(t *testing.T) {
	for _, sc := range []struct {
		name, path string
		fault      cwstandin.WorkerFault
		header     []string
	}{
		{"retry", "/safe/x", cwstandin.FaultLoseResponse, nil},
		{"retry after status 500", "/safe/x", cwstandin.FaultServerError, nil},
		{"resumed stream", "/stream/x", cwstandin.FaultTruncateStream, newPromptHeader()},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-a")}
				i, workers := startOneRegion(s, cwscene.NewRoute("safe", "safe", nil), cwscene.NewRoute("stream", "streaming", cwscene.RoutedRoute{"resumable": true}))
				cwstandin.SetFirstRequestFault(workers, sc.fault)
				resp := s.Do(t.Context(), i, withKey(sc.path, "secret-a", sc.header...))
				is.NoErr(resp.Err)
				is.Equal(resp.Status, http.StatusOK)
				runs := collectRuns(workers)
				is.Equal(len(runs), 2)
				requireNoKey(is, runs)
				for _, run := range runs {
					is.Equal(run.Header.Get(cwstandin.AccountHeader), "a")
				}
			})
		})
	}
}

// TestAccountHomesBind guards against a request that is served outside the homes of its account or of
// its route, also by an exit, and against one that is not served although both allow it.
func TestAccountHomesBind(t *testing.T) {
	for _, sc := range []struct {
		name                 string
		ofRoute, ofAccount   []string
		wantNorth, wantSouth int
	}{
		{"none", nil, nil, 1, 0},
		{"account at home", nil, []string{"north"}, 1, 0},
		{"account elsewhere", nil, []string{"south"}, 0, 1},
		{"both elsewhere", []string{"north", "south"}, []string{"south"}, 0, 1},
		{"route elsewhere", []string{"south"}, []string{"north", "south"}, 0, 1},
		{"none in common", []string{"north"}, []string{"south"}, 0, 0},
		{"out of reach", nil, []string{"west"}, 0, 0},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				account := cwstandin.NewPublishedAccount("a", "secret")
				account["home-regions"] = sc.ofAccount
				s.Accounts = []map[string]any{account}
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": sc.ofRoute}))
				north, south := s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("south-a", "10.2.1.1")
				entry := s.AddInstance("10.1.0.1", "north-a")
				s.AddInstance("10.2.0.1", "south-a")
				s.AwaitReady()
				time.Sleep(startupTime)
				resp := s.Do(t.Context(), entry, withKey("/r/x", "secret"))
				is.Equal(resp.Status == http.StatusOK, sc.wantNorth+sc.wantSouth == 1)
				is.Equal(len(north.Runs()), sc.wantNorth)
				is.Equal(len(south.Runs()), sc.wantSouth)
			})
		})
	}
}

// TestAccountPriorityGoesBeforeRoutes guards against a request that engines get with the rank of its
// route although its account has one, at the entry and at an exit.
func TestAccountPriorityGoesBeforeRoutes(t *testing.T) {
	// The prompts are light, which go first within their rank.
	const urgent, normal = "2", "4"
	for _, sc := range []struct {
		name      string
		ofRoute   int
		ofAccount any
		homes     []string
		want      string
	}{
		{"account urgent", 2, 0, nil, urgent},
		{"account normal", 0, 2, nil, normal},
		{"account without", 0, nil, nil, urgent},
		{"account urgent, at an exit", 2, 0, []string{"south"}, urgent},
		{"account normal, at an exit", 0, 2, []string{"south"}, normal},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				account := cwstandin.NewPublishedAccount("a", "secret")
				if sc.ofAccount != nil {
					account["priority"] = sc.ofAccount
				}
				s.Accounts = []map[string]any{account}
				s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"priority": sc.ofRoute, "home-regions": sc.homes}))
				workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("south-a", "10.2.1.1")}
				entry := s.AddInstance("10.1.0.1", "north-a")
				s.AddInstance("10.2.0.1", "south-a")
				s.AwaitReady()
				time.Sleep(startupTime)
				resp := s.Do(t.Context(), entry, withKey("/r/x", "secret", newPromptHeader()...))
				is.NoErr(resp.Err)
				is.Equal(resp.Status, http.StatusOK)
				is.Equal(collectRuns(workers)[0].Header.Get("Clementinewell-Request-Priority"), sc.want)
			})
		})
	}
}
