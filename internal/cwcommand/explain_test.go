package cwcommand_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwcommand"
	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// runExplain runs the command explain and returns what it prints.
func runExplain(args ...string) (string, error) {
	var out bytes.Buffer
	root := cwcommand.NewRoot()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(append([]string{"explain"}, args...))
	err := root.Execute()
	return out.String(), err
}

// TestExplainPrintsDecisionAndCandidates guards against flags that don't reach the instance and
// against a text that hides the decision or what excludes a candidate.
func TestExplainPrintsDecisionAndCandidates(t *testing.T) {
	is := is.New(t)
	first := 0.12
	answer := cwgate.RequestExplanation{
		Route: "chat", Service: "m", Account: "acme",
		Placement: cwplacement.Explanation{
			Action: "send", Reason: "local", Place: "e1", LocalFirstByteSeconds: &first,
			Endpoints:      []cwplacement.EndpointCandidate{{ID: "e1", Domain: "a", Cost: 0.5, FirstByteSeconds: first}, {ID: "e2", Domain: "a", Exclusion: cwplacement.ExcludedPaused}},
			OtherEndpoints: map[cwplacement.Exclusion]int{cwplacement.Costlier: 3},
		},
	}
	var query string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.Path + "?" + r.URL.RawQuery
		_ = json.NewEncoder(w).Encode(&answer)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	text, err := runExplain("--admin", address, "--host", "h.example", "--path", "/chat/x", "--account", "acme", "--prompt-tokens", "900", "--output-tokens", "60", "--parts", "a1:500,b2:400", "--timeout", "2s")
	is.NoErr(err)
	is.Equal(query, "/explain?account=acme&host=h.example&outputTokens=60&parts=a1%3A500%2Cb2%3A400&path=%2Fchat%2Fx&promptTokens=900&timeoutMillis=2000")
	lines := strings.Split(text, "\n")
	is.Equal(lines[0], "send to e1: local (first byte here 0.120 s, in another region -)")
	is.True(strings.Contains(text, "chosen"))
	is.True(strings.Contains(text, "paused"))
	is.True(strings.Contains(text, "3 more: costlier"))

	text, err = runExplain("--instance", address, "--host", "h.example", "--path", "/chat/x", "--json")
	is.NoErr(err)
	var decoded cwgate.RequestExplanation
	is.NoErr(json.Unmarshal([]byte(text), &decoded))
	is.Equal(decoded.Placement.Place, "e1")
}

// TestExplainReportsErrors guards against errors that hide what is wrong with the call.
func TestExplainReportsErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "route of host \"h\" and path \"/x\": not in the configuration in force", http.StatusNotFound)
	}))
	defer server.Close()
	for _, sc := range []struct {
		name, message string
		args          []string
	}{
		{"neither service nor host", "name SERVICE, or --host and --path", nil},
		{"host without path", "name SERVICE, or --host and --path", []string{"--host", "h"}},
		{"service and host", "not both", []string{"m", "--host", "h", "--path", "/x"}},
		{"unknown route", "not in the configuration in force", []string{"--host", "h", "--path", "/x"}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := runExplain(append(sc.args, "--admin", server.Listener.Addr().String())...)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), sc.message))
		})
	}
}

// TestExplainPrintsQuota guards against a text that names a place for a request that is over its
// account's quota, or that hides what is left.
func TestExplainPrintsQuota(t *testing.T) {
	is := is.New(t)
	answer := cwgate.RequestExplanation{
		Account: "acme", Quota: &cwgate.QuotaExplanation{Unit: "tokens", PerSecond: 100, Burst: 400, Amount: 960, Level: 12.5, Spendable: 3, ShareInContact: 0.75, RetryAfterSeconds: 9.5},
		Placement: cwplacement.Explanation{Action: "send", Place: "e1"},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(&answer) }))
	defer server.Close()
	text, err := runExplain("--admin", server.Listener.Addr().String(), "--host", "h.example", "--path", "/chat/x", "--account", "acme")
	is.NoErr(err)
	is.True(strings.HasPrefix(text, "refuse: over the quota of the account, retry after 9.5 s\n"))
	is.True(strings.Contains(text, "quota 100 tokens/s, burst 400: 12.5 left, 3.0 of it for this instance, the request counts 960; share in contact 0.75"))
}
