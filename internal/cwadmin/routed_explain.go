package cwadmin

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// PartsParser decodes the parts of a prompt as callers write them.
type PartsParser func(text string) ([]cwplacement.PromptPart, error)

// maxExplainedNumber bounds the numbers of an explained request: tokens and milliseconds.
const maxExplainedNumber = 1 << 30

// explain answers where a request would go, without sending it.
func (h *RoutedHandler) explain(w http.ResponseWriter, r *http.Request) {
	request, err := h.parseExplained(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	explanation, err := h.gate.Explain(request, time.Now())
	if err != nil {
		http.Error(w, err.Error(), explainErrorStatus(err))
		return
	}
	writeJSON(w, explanation)
}

func explainErrorStatus(err error) int {
	switch {
	case errors.Is(err, cwgate.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, cwgate.ErrNoConfig):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// parseExplained reads the request to be explained.
func (h *RoutedHandler) parseExplained(query url.Values) (*cwgate.ExplainedRequest, error) {
	r := &cwgate.ExplainedRequest{Host: query.Get("host"), Path: query.Get("path"), Account: query.Get("account")}
	if r.Host == "" || r.Path == "" {
		return nil, errors.New("name host and path")
	}
	timeoutMillis := 0
	for _, field := range []struct {
		name   string
		number *int
	}{{"promptTokens", &r.PromptTokens}, {"outputTokens", &r.OutputTokens}, {"timeoutMillis", &timeoutMillis}} {
		text := query.Get(field.name)
		if text == "" {
			continue
		}
		number, err := strconv.Atoi(text)
		if err != nil || number < 0 || number > maxExplainedNumber {
			return nil, fmt.Errorf("%s is %q, not a number from 0 to %d", field.name, text, maxExplainedNumber)
		}
		*field.number = number
	}
	r.Timeout = time.Duration(timeoutMillis) * time.Millisecond
	parts, err := h.parseParts(query.Get("parts"))
	if err != nil {
		return nil, fmt.Errorf("parts are %q, not id:tokens, separated by commas: %w", query.Get("parts"), err)
	}
	r.Parts = parts
	return r, nil
}
