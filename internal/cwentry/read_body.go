package cwentry

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// bodyReadTimeout is the time within which the buffered part of a body must be
// received.
const bodyReadTimeout = 10 * time.Second

// readBody buffers the start of the body. It returns a problem with a 4xx status if
// the body is received too slowly, truncated, too large or invalid JSON, since these
// are errors of the caller. JSON is checked only if the whole body is buffered.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, service *cwservice.Service) (*cwdispatch.Body, *cwanswer.Problem) {
	maxBytes := int64(h.Settings.MaxBodyBytes)
	if r.ContentLength > maxBytes {
		return nil, h.newProblem(http.StatusRequestEntityTooLarge, "body-too-large", "the body is above the bound")
	}
	if r.ContentLength == 0 {
		return &cwdispatch.Body{}, nil
	}
	rc := http.NewResponseController(w)
	// An error means that the server does not support deadlines, as in some tests. The
	// body size is limited anyway.
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := cwdispatch.ReadBody(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
	if err != nil {
		return nil, h.bodyProblem(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	if body.IsFullyBuffered() && isJSON(r, service) && !json.Valid(body.Prefix()) {
		return nil, h.newProblem(http.StatusBadRequest, "bad-json", "the body is not whole JSON")
	}
	return body, nil
}

func (h *Handler) bodyProblem(err error) *cwanswer.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return h.newProblem(http.StatusRequestEntityTooLarge, "body-too-large", "the body is above the bound")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return h.newProblem(http.StatusRequestTimeout, "slow-body", "the body came too slowly")
	}
	return h.newProblem(http.StatusBadRequest, "bad-body", "the body was cut off or its length is wrong")
}

func isJSON(r *http.Request, service *cwservice.Service) bool {
	return service.Kind == cwservice.Engine || strings.HasPrefix(r.Header.Get("Content-Type"), "application/json")
}
