package cwplatform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// readTimeout bounds a read, and for a watch the time in addition to its wait.
const readTimeout = 3 * time.Second

var (
	// ErrUnchanged is returned when a watch ends without a newer revision.
	ErrUnchanged = errors.New("value is unchanged")
	// ErrOverBudget is returned while the platform's call budget is used up.
	ErrOverBudget = errors.New("call budget of the platform is used up")
	// ErrNotFound is returned when the platform has no value with the key.
	ErrNotFound = errors.New("value not found")
)

// Value is one value with its revision.
type Value struct {
	// Data is the value, at most cwconfig.MaxValueBytes long.
	Data []byte
	// Revision rises with each change of the value.
	Revision uint64
}

// Reader reads and watches the platform's values. It is safe for concurrent use.
type Reader struct {
	baseURL string
	client  *http.Client
}

// NewReader returns a reader of the platform at the base URL. Responses count in the budget.
func NewReader(baseURL string, n cwnet.Net, budget *cwlimit.Budget) *Reader {
	transport := cwlimit.NewTransport(&http.Transport{DialContext: n.DialContext, MaxIdleConnsPerHost: 4}, budget, cwlimit.MaxControlBytes)
	return &Reader{baseURL: baseURL, client: &http.Client{Transport: &cwnet.RenewingTransport{IdleCloser: transport}}}
}

// Read returns the current value with the key. It returns ErrNotFound, ErrOverBudget or
// another error, each wrapped with the key.
func (r *Reader) Read(ctx context.Context, key string) (Value, error) {
	return r.get(ctx, key, "", readTimeout)
}

// Watch returns the value with the key as soon as its revision is above after. It returns
// ErrUnchanged if that does not happen within wait, and otherwise the same errors as Read.
func (r *Reader) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := "?after=" + strconv.FormatUint(after, 10) + "&waitMillis=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return r.get(ctx, key, query, wait+readTimeout)
}

func (r *Reader) get(ctx context.Context, key, query string, timeout time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL+"/v1/values/"+key+query, nil)
	if err != nil {
		return Value{}, fmt.Errorf("read %s from platform: %w", key, cwlimit.ShortenError(err))
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return Value{}, fmt.Errorf("read %s from platform: %w", key, cwlimit.ShortenError(err))
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return Value{}, fmt.Errorf("read %s from platform: %w", key, cwlimit.ShortenError(err))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, cwconfig.MaxValueBytes+1))
	if err != nil {
		return Value{}, fmt.Errorf("read %s from platform: %w", key, cwlimit.ShortenError(err))
	}
	if len(data) > cwconfig.MaxValueBytes {
		return Value{}, fmt.Errorf("read %s from platform: value is larger than %d bytes", key, cwconfig.MaxValueBytes)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, fmt.Errorf("read %s from platform: invalid revision: %w", key, cwlimit.ShortenError(err))
	}
	return Value{Data: data, Revision: revision}, nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusTooManyRequests:
		return ErrOverBudget
	case http.StatusNotFound:
		return ErrNotFound
	}
	return fmt.Errorf("status %d", status)
}
