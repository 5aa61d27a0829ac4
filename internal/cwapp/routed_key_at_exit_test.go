package cwapp_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// accountConfig is a configuration at one instance alone.
type accountConfig struct {
	version  int
	accounts []map[string]any
	isPublic bool
}

// apply puts the configuration in force at one instance alone, which its peers don't get.
func (c accountConfig) apply(is *is.I, i *cwscene.RoutedInstance) {
	route := cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}, "public": c.isPublic})
	config := cwstandin.NewPublishedConfig(c.version, []map[string]any{cwstandin.NewPublishedPlainService("app")}, []cwscene.RoutedRoute{route})
	if len(c.accounts) > 0 {
		config["tenants"] = c.accounts
	}
	value, err := json.Marshal(config)
	is.NoErr(err)
	revision := i.State.Revision()
	i.State.Apply("test", cwpublished.Delta{Items: []cwpublished.Item{{Key: cwstandin.ConfigKey, Value: value, Revision: revision}}, Revision: revision})
	is.Equal(i.State.View().Config.Version, uint64(c.version))
}

// TestKeyAtExit guards against an exit that serves a key which was withdrawn there, against a caller
// that gets 401 because the exit does not know its new key yet, and against a key that is sent to
// another instance.
func TestKeyAtExit(t *testing.T) {
	account := func(name string, keys ...string) []map[string]any {
		return []map[string]any{cwstandin.NewPublishedAccount(name, keys...)}
	}
	for _, sc := range []struct {
		name        string
		entry, exit accountConfig
		status      int
		account     string
	}{
		{"same", accountConfig{version: 98, accounts: account("a", "secret")}, accountConfig{version: 98, accounts: account("a", "secret")}, http.StatusOK, "a"},
		{"withdrawn at the exit", accountConfig{version: 98, accounts: account("a", "secret")}, accountConfig{version: 99, accounts: account("a", "other-secret")}, http.StatusServiceUnavailable, ""},
		{"account withdrawn at the exit", accountConfig{version: 98, accounts: account("a", "secret")}, accountConfig{version: 99, accounts: account("b", "other-secret")}, http.StatusServiceUnavailable, ""},
		{"held by another account at the exit", accountConfig{version: 98, accounts: account("a", "secret")}, accountConfig{version: 99, accounts: account("b", "secret")}, http.StatusServiceUnavailable, ""},
		{"withdrawn at the entry", accountConfig{version: 99, accounts: account("a", "other-secret")}, accountConfig{version: 98, accounts: account("a", "secret")}, http.StatusUnauthorized, ""},
		{"not yet at the exit", accountConfig{version: 99, accounts: account("a", "secret")}, accountConfig{version: 98, accounts: account("a", "other-secret")}, http.StatusOK, "a"},
		{"account not yet at the exit", accountConfig{version: 99, accounts: account("a", "secret")}, accountConfig{version: 98, accounts: account("b", "other-secret")}, http.StatusOK, "a"},
		{"no accounts yet at the exit", accountConfig{version: 99, accounts: account("a", "secret")}, accountConfig{version: 98}, http.StatusOK, "a"},
		{"no accounts yet at the entry", accountConfig{version: 98}, accountConfig{version: 99, accounts: account("a", "secret")}, http.StatusOK, "a"},
		{"no accounts yet at the entry, unknown key", accountConfig{version: 98}, accountConfig{version: 99, accounts: account("a", "other-secret")}, http.StatusServiceUnavailable, ""},
		{"no longer accounts at the entry", accountConfig{version: 99}, accountConfig{version: 98, accounts: account("a", "other-secret")}, http.StatusOK, ""},
		{"public", accountConfig{version: 98, accounts: account("a", "other-secret"), isPublic: true}, accountConfig{version: 98, accounts: account("a", "other-secret"), isPublic: true}, http.StatusOK, ""},
		{"no longer public at the exit", accountConfig{version: 98, accounts: account("a", "other-secret"), isPublic: true}, accountConfig{version: 99, accounts: account("a", "other-secret")}, http.StatusServiceUnavailable, ""},
		{"not yet public at the exit", accountConfig{version: 99, accounts: account("a", "other-secret"), isPublic: true}, accountConfig{version: 98, accounts: account("a", "other-secret")}, http.StatusOK, ""},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
				w := s.AddWorker("south-a", "10.2.1.1")
				north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
				s.AwaitReady()
				time.Sleep(startupTime)
				sc.entry.apply(is, north)
				sc.exit.apply(is, south)
				resp := s.Do(t.Context(), north, withKey("/r/x", "secret"))
				is.NoErr(resp.Err)
				is.Equal(resp.Status, sc.status)
				is.Equal(len(w.Runs()) == 1, sc.status == http.StatusOK)
				requireNoKey(is, w.Runs())
				if sc.status == http.StatusOK {
					is.Equal(w.Runs()[0].Header.Get(cwstandin.AccountHeader), sc.account)
				}
			})
		})
	}
}

// startupTime is the time after which an instance knows the capacities of other regions.
const startupTime = 3 * time.Second

// TestKeyWithdrawnDuringRelay guards against a caller that is told to come back with a key that its
// own instance no longer accepts either: the exit refused the key, and the entry's configuration
// follows while the request is relayed.
func TestKeyWithdrawnDuringRelay(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret")}
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		w := s.AddWorker("south-a", "10.2.1.1")
		north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
		s.AwaitReady()
		time.Sleep(startupTime)
		after := accountConfig{version: 99, accounts: []map[string]any{cwstandin.NewPublishedAccount("a", "other-secret")}}
		after.apply(is, south)
		body, bodyWriter := io.Pipe()
		responses := make(chan cwscene.RoutedResponse, 1)
		go func() {
			r := withKey("/r/x", "secret")
			r.BodyReader = body
			responses <- s.Do(t.Context(), north, r)
		}()
		time.Sleep(100 * time.Millisecond)
		after.apply(is, north)
		_, err := bodyWriter.Write([]byte("order"))
		is.NoErr(err)
		is.NoErr(bodyWriter.Close())
		resp := <-responses
		is.NoErr(resp.Err)
		is.Equal(resp.Status, http.StatusUnauthorized)
		is.Equal(resp.Body, "keyWithdrawn\n")
		is.Equal(len(w.Runs()), 0)
	})
}
