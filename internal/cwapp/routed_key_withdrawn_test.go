package cwapp_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestWithdrawnKeyEndsOnKeptConnection guards against a caller that goes on with a withdrawn key on a
// connection that it keeps, and against a new key that is refused there.
func TestWithdrawnKeyEndsOnKeptConnection(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		route := cwscene.NewRoute("r", "unsafe", nil)
		s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-old")}
		i, _ := startOneRegion(s, route)
		c, err := s.Net.Host(cwscene.CallerIP).DialContext(t.Context(), "tcp", i.Settings.CallerAddress)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		send := func(id, key string) int {
			_, err := fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: Token %s\r\nContent-Length: 5\r\n\r\norder", cwscene.RouteHost, cwstandin.RequestIDHeader, id, cwstandin.KeyHeader, key)
			is.NoErr(err)
			resp, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			return resp.StatusCode
		}
		is.Equal(send("1", "secret-old"), http.StatusOK)
		is.Equal(send("2", "secret-new"), http.StatusUnauthorized)
		is.Equal(send("3", "secret-old"), http.StatusOK)
		s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-new")}
		s.Publish(nil, route)
		time.Sleep(configApplyTime)
		is.Equal(send("4", "secret-old"), http.StatusUnauthorized)
		is.Equal(send("5", "secret-new"), http.StatusOK)
	})
}

// TestWithdrawnKeyEndsWithoutStore guards against an instance that the store turns away, or that
// starts meanwhile, and still accepts a withdrawn key or refuses a new one.
func TestWithdrawnKeyEndsWithoutStore(t *testing.T) {
	for _, sc := range []struct {
		name       string
		isRestart  bool
		isForever  bool
		wantStatus int
	}{
		{"turned away", false, false, http.StatusUnauthorized},
		{"started meanwhile", true, false, http.StatusUnauthorized},
		{"started without any configuration", true, true, http.StatusServiceUnavailable},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				route := cwscene.NewRoute("r", "unsafe", nil)
				s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-old")}
				s.Publish(nil, route)
				s.AddWorker("north-a", "10.1.1.1")
				first := s.AddInstance("10.1.0.1", "north-a")
				var second *cwscene.RoutedInstance
				if !sc.isRestart {
					second = s.AddInstance("10.1.0.2", "north-a")
				}
				s.AwaitReady()
				if sc.isForever {
					s.Store.RefuseIf(func(string) bool { return true })
					s.Kill(first)
				} else {
					s.Store.RefuseIf(func(remote string) bool { return strings.HasPrefix(remote, "10.1.0.2") })
				}
				s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-new")}
				s.Publish(nil, route)
				if sc.isRestart {
					second = s.AddInstance("10.1.0.2", "north-a")
				}
				time.Sleep(configApplyTime)
				is.Equal(s.Do(t.Context(), second, withKey("/r/x", "secret-old")).Status, sc.wantStatus)
				if !sc.isForever {
					is.Equal(s.Do(t.Context(), second, withKey("/r/x", "secret-new")).Status, http.StatusOK)
				}
			})
		})
	}
}
