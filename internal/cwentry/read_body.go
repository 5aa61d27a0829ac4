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

// bodyReadTimeout bounds the time in which the part of a body that is held in memory
// must arrive.
const bodyReadTimeout = 10 * time.Second

// readBody reads the start of the body. A sender that is too slow, a body that is
// cut off or too long, and broken JSON are the caller's fault.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, service *cwservice.Service) (*cwdispatch.Body, *cwanswer.Problem) {
	most := int64(h.Settings.MaxBodyBytes)
	if r.ContentLength > most {
		return nil, h.newProblem(http.StatusRequestEntityTooLarge, "body-too-large", "the body is above the bound")
	}
	if r.ContentLength == 0 {
		return &cwdispatch.Body{}, nil
	}
	rc := http.NewResponseController(w)
	// A server without deadlines, as in some tests, still bounds the body's size.
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := cwdispatch.ReadBody(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
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
