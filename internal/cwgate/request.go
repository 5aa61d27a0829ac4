package cwgate

import (
	"io"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// Request is a caller's request, decoded.
type Request struct {
	// ID identifies this attempt of the caller; endpoints echo it.
	ID string
	// Method and Target are those of the request line.
	Method, Target string
	// Host and Path select the route.
	Host, Path string
	// Header holds the fields that travel on.
	Header http.Header
	// Body is the body, and Length its length, -1 if unknown.
	Body   io.Reader
	Length int64
	// Arrived is when the request reached this instance.
	Arrived time.Time
	// Timeout is how long the caller waits from then; 0 if it doesn't say.
	Timeout time.Duration
	// Prompt is set for requests to model engines.
	Prompt *Prompt
	// LastEventID is the last event that the caller has of a stream.
	LastEventID string
	// Relayed is set if another instance sent the request; it then spent Elapsed.
	Relayed bool
	Elapsed time.Duration
}

// Prompt is what a request says of its prompt.
type Prompt struct {
	// Tokens is the length, and MaxOutput the most that may be generated.
	Tokens, MaxOutputTokens int
	// OutputTokensHint is the caller's estimate of the output; 0 if it has none.
	OutputTokensHint int
	// Parts make up the prompt.
	Parts []cwplacement.PromptPart
}

// expectedOutputTokens returns the expected length of the answer in tokens.
func (p *Prompt) expectedOutputTokens() int {
	if p.OutputTokensHint > 0 && p.OutputTokensHint < p.MaxOutputTokens {
		return p.OutputTokensHint
	}
	return p.MaxOutputTokens
}
