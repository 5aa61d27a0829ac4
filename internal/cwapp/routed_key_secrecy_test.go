package cwapp_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// requireNoKey fails the test if a run contains a key. The keys of these tests contain "secret".
func requireNoKey(is *is.I, runs []cwstandin.WorkerRun) {
	is.Helper()
	for _, run := range runs {
		is.True(!strings.Contains(fmt.Sprint(run.Header), "secret"))
		is.Equal(run.Header.Values(cwstandin.KeyHeader), nil)
	}
}

// TestNoLogLineContainsKey guards against a key in a log line or in what the admin interface shows,
// whatever becomes of the request.
func TestNoLogLineContainsKey(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		core, lines := observer.New(zap.DebugLevel)
		s.Log = zap.New(core)
		s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-a")}
		route := cwscene.NewRoute("r", "safe", nil)
		i, workers := startOneRegion(s, route)
		for _, fault := range []cwstandin.WorkerFault{cwstandin.FaultNone, cwstandin.FaultReject, cwstandin.FaultServerError, cwstandin.FaultLoseResponse, cwstandin.FaultTruncateResponse, cwstandin.FaultOmitSignature} {
			cwstandin.SetFirstRequestFault(workers, fault)
			s.Do(t.Context(), i, withKey("/r/x", "secret-a"))
		}
		is.Equal(s.Do(t.Context(), i, withKey("/r/x", "secret-none")).Status, http.StatusUnauthorized)
		s.Accounts = append(s.Accounts, cwstandin.NewPublishedAccount("b", "secret-a"))
		s.Publish(nil, route)
		time.Sleep(configApplyTime)
		hasAccount, hasRefusal := false, false
		for _, line := range lines.All() {
			fields := line.ContextMap()
			is.True(!strings.Contains(fmt.Sprint(line.Message, fields), "secret"))
			hasAccount = hasAccount || line.Message == "request ended" && fields["account"] == "a"
			hasRefusal = hasRefusal || fields["reason"] == "keyUnknown" && fields["key"] == cwroute.Fingerprint("secret-none")
		}
		is.True(hasAccount)
		is.True(hasRefusal)
		for _, path := range []string{"/status", "/metrics"} {
			is.True(!strings.Contains(s.FetchAdmin(t, i, path), "secret"))
		}
	})
}

// TestKeyStaysAtEntry guards against a key that is sent to an exit or an endpoint, also in an attempt
// after a failed one.
func TestKeyStaysAtEntry(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		sent := &sentBytes{}
		s.RegionByDomain["south-b"] = "south"
		s.WrapNet = func(n cwnet.Net) cwnet.Net { return recordingNet{Net: n, sent: sent} }
		s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret")}
		s.Publish(nil, cwscene.NewRoute("r", "safe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		workers := []*cwstandin.Worker{s.AddWorker("south-a", "10.2.1.1"), s.AddWorker("south-b", "10.2.1.2")}
		north := s.AddInstance("10.1.0.1", "north-a")
		s.AddInstance("10.2.0.1", "south-a")
		s.AddInstance("10.2.0.2", "south-b")
		s.AwaitReady()
		time.Sleep(startupTime)
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultServerError)
		is.Equal(s.Do(t.Context(), north, withKey("/r/x", "secret")).Status, http.StatusOK)
		is.Equal(strings.Count(sent.String(), "Clementinewell-Relayed-Account: a\r\n"), 2)
		is.Equal(strings.Count(sent.String(), cwstandin.AccountHeader+": a\r\n"), 2)
		is.True(!strings.Contains(sent.String(), "secret"))
	})
}
