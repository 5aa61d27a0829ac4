package cwservice

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// Parse decodes and checks one service file. The file name is only used in errors. The
// error is of type Faults, with the file, line and field of each fault.
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

// ParseAccounts decodes and checks one account file. The file name is only used in
// errors. The error is of type Faults, with the file, line and field of each fault.
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
		d.addFault("name", "must be lower-case letters, digits and dashes, at most 63")
	}
	if s.Kind != Engine && s.Kind != Plain {
		d.addFault("kind", "must be engine or plain")
	}
	if s.Kind == Engine && s.Model == "" {
		d.addFault("model", "an engine service must have a model")
	}
	if s.Kind == Plain && s.Model != "" {
		d.addFault("model", "a plain service must not have a model")
	}
	if len(s.Places) == 0 {
		d.addFault("places", "must have at least one region")
	}
	checkNames(d, "places", s.Places)
	checkNames(d, "transit", s.Transit)
}

func checkNames(d *document, field string, names []string) {
	for i, name := range names {
		if !namePattern.MatchString(name) {
			d.addFault(fmt.Sprintf("%s.%d", field, i), "%q is not a valid name", name)
		}
		if slices.Index(names, name) != i {
			d.addFault(fmt.Sprintf("%s.%d", field, i), "%q is listed twice", name)
		}
	}
}

func checkTargets(d *document, s *Service) {
	t := s.Targets
	if t.FirstTokenMillis <= 0 {
		d.addFault("targets.firstTokenMillis", "must be above 0")
	}
	if t.BetweenTokensMillis < 0 {
		d.addFault("targets.betweenTokensMillis", "must not be negative")
	}
	if t.DeadlineMillis < t.FirstTokenMillis {
		d.addFault("targets.deadlineMillis", "must not be below firstTokenMillis")
	}
	if t.Objective <= 0 || t.Objective >= 1 {
		d.addFault("targets.objective", "must be between 0 and 1")
	}
	if s.Class != Interactive && s.Class != Batch {
		d.addFault("class", "must be interactive or batch")
	}
}

func checkOperations(d *document, s *Service) {
	for i, op := range s.Operations {
		prefix := fmt.Sprintf("operations.%d.", i)
		if !slices.Contains(knownMethods, op.Method) {
			d.addFault(prefix+"method", "%q is not a supported HTTP method", op.Method)
		}
		if !strings.HasPrefix(op.Path, "/") {
			d.addFault(prefix+"path", "must begin with /")
		}
		if op.Lookup != "" && !strings.Contains(op.Lookup, "{key}") {
			d.addFault(prefix+"lookup", "must contain {key}")
		}
	}
}

func checkPolicy(d *document, s *Service) {
	weights := s.Weights
	if weights.Cost < 0 || weights.Tail < 0 || weights.Away < 0 {
		d.addFault("weights", "must not be negative")
	}
	if weights.Cost+weights.Tail <= 0 {
		d.addFault("weights", "cost or tail must be above 0")
	}
	limits := s.Limits
	if limits.RequestsPerSecond < 0 || limits.AccountRequestsPerSecond < 0 || limits.AccountStreams < 0 {
		d.addFault("limits", "must not be negative")
	}
	retries := s.Retries
	if retries.MaxAttempts < 0 || retries.Ratio < 0 || retries.Ratio > 1 {
		d.addFault("retries", "maxAttempts must not be negative and ratio must be between 0 and 1")
	}
	if s.Kind == Engine && s.Fencing != FencingChecked && s.Fencing != FencingIgnored {
		d.addFault("fencing", "must be checked or ignored")
	}
}

func checkAccount(d *document, path string, a *Account) {
	if !namePattern.MatchString(a.Name) {
		d.addFault(path+".name", "must be lower-case letters, digits and dashes, at most 63")
	}
	if !keyHashPattern.MatchString(a.KeySHA256) {
		d.addFault(path+".keySha256", "must be 64 lower-case hex digits")
	}
	if a.Home != "" && !namePattern.MatchString(a.Home) {
		d.addFault(path+".home", "%q is not a valid name", a.Home)
	}
}
