package cwservice

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var keyPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// Parse reads and checks one service file. The error is of type Faults and
// names the file, line and field of each fault.
func Parse(file string, data []byte) (Service, error) {
	s := Service{}
	d := &document{file: file}
	if d.decode(data, &s) {
		checkIdentity(d, &s)
		checkTargets(d, &s)
		checkOperations(d, &s)
		checkPolicy(d, &s)
	}
	return s, d.err()
}

// ParseAccounts reads and checks one account file. The error is of type Faults.
func ParseAccounts(file string, data []byte) (AccountFile, error) {
	f := AccountFile{}
	d := &document{file: file}
	if d.decode(data, &f) {
		for i := range f.Accounts {
			checkAccount(d, fmt.Sprintf("accounts.%d", i), &f.Accounts[i])
		}
	}
	return f, d.err()
}

func checkIdentity(d *document, s *Service) {
	if !namePattern.MatchString(s.Name) {
		d.add("name", "must be lower-case letters, digits and dashes, at most 63")
	}
	if s.Kind != Engine && s.Kind != Plain {
		d.add("kind", "must be engine or plain")
	}
	if s.Kind == Engine && s.Model == "" {
		d.add("model", "an engine service needs a model")
	}
	if s.Kind == Plain && s.Model != "" {
		d.add("model", "a plain service has no model")
	}
	if len(s.Places) == 0 {
		d.add("places", "at least one region is needed")
	}
	checkNames(d, "places", s.Places)
	checkNames(d, "transit", s.Transit)
}

func checkNames(d *document, field string, names []string) {
	for i, name := range names {
		if !namePattern.MatchString(name) {
			d.add(fmt.Sprintf("%s.%d", field, i), "%q is not a name", name)
		}
		if slices.Index(names, name) != i {
			d.add(fmt.Sprintf("%s.%d", field, i), "%q stands twice", name)
		}
	}
}

func checkTargets(d *document, s *Service) {
	t := s.Targets
	if t.FirstTokenMillis <= 0 {
		d.add("targets.firstTokenMillis", "must be above 0")
	}
	if t.BetweenTokensMillis < 0 {
		d.add("targets.betweenTokensMillis", "must not be negative")
	}
	if t.DeadlineMillis < t.FirstTokenMillis {
		d.add("targets.deadlineMillis", "must not be below firstTokenMillis")
	}
	if t.Objective <= 0 || t.Objective >= 1 {
		d.add("targets.objective", "must lie between 0 and 1")
	}
	if s.Class != Interactive && s.Class != Batch {
		d.add("class", "must be interactive or batch")
	}
}

func checkOperations(d *document, s *Service) {
	for i, op := range s.Operations {
		at := fmt.Sprintf("operations.%d.", i)
		if !slices.Contains(knownMethods, op.Method) {
			d.add(at+"method", "%q is not a method", op.Method)
		}
		if !strings.HasPrefix(op.Path, "/") {
			d.add(at+"path", "must begin with /")
		}
		if op.Lookup != "" && !strings.Contains(op.Lookup, "{key}") {
			d.add(at+"lookup", "must contain {key}")
		}
	}
}

func checkPolicy(d *document, s *Service) {
	w := s.Weights
	if w.Cost < 0 || w.Tail < 0 || w.Away < 0 {
		d.add("weights", "must not be negative")
	}
	if w.Cost+w.Tail <= 0 {
		d.add("weights", "cost or tail must be above 0")
	}
	l := s.Limits
	if l.RequestsPerSecond < 0 || l.AccountRequestsPerSecond < 0 || l.AccountStreams < 0 {
		d.add("limits", "must not be negative")
	}
	r := s.Retries
	if r.MaxAttempts < 0 || r.Ratio < 0 || r.Ratio > 1 {
		d.add("retries", "maxAttempts must not be negative and ratio must lie between 0 and 1")
	}
	if s.Kind == Engine && s.Fencing != Checked && s.Fencing != Ignored {
		d.add("fencing", "must be checked or ignored")
	}
}

func checkAccount(d *document, at string, a *Account) {
	if !namePattern.MatchString(a.Name) {
		d.add(at+".name", "must be lower-case letters, digits and dashes, at most 63")
	}
	if !keyPattern.MatchString(a.KeySHA256) {
		d.add(at+".keySha256", "must be 64 lower-case hex digits")
	}
	if a.Home != "" && !namePattern.MatchString(a.Home) {
		d.add(at+".home", "%q is not a name", a.Home)
	}
}
