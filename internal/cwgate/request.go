package cwgate

import (
	"io"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

// Request is the decoded request of a caller.
type Request struct {
	// ID identifies the caller's attempt. Endpoints return it in their responses.
	ID string
	// Method and Target are those of the request line.
	Method, Target string
	// Host and Path determine the route.
	Host, Path string
	// Header contains the fields to be forwarded.
	Header http.Header
	// Body is the body, and Length its length in bytes, -1 if unknown.
	Body   io.Reader
	Length int64
	// Query is the query of Target, without the question mark.
	Query string
	// Key is the caller's key.
	Key CallerKey
	// CallerIP is the address of the caller's host.
	CallerIP string
	// ArrivedAt is when this instance received the request.
	ArrivedAt time.Time
	// Timeout is how long after ArrivedAt the caller waits; 0 if the request does not
	// state it.
	Timeout time.Duration
	// Prompt is set for requests to model engines.
	Prompt *Prompt
	// LastEventID is the last event of a stream that the caller has received.
	LastEventID string
	// Resumes is the identifier of the caller's attempt that brought the first event of a
	// stream which this request takes up; empty if it takes up none.
	Resumes string
	// IsRelayed is set if another instance relayed the request. Elapsed is the time that
	// was spent on it before.
	IsRelayed bool
	Elapsed   time.Duration
	// RelayedAccount is what the instance that relayed the request told about the account.
	RelayedAccount RelayedAccount
	// Origin is what began the stream that a relayed request goes on with; unknown otherwise.
	Origin cwstream.Origin
	// TriedEndpoints are the endpoints to which the request was sent before it was relayed.
	TriedEndpoints []string
}

// Prompt describes the prompt and the output of a request to a model engine.
type Prompt struct {
	// Tokens is the length of the prompt, and MaxOutputTokens the limit of the output.
	Tokens, MaxOutputTokens int
	// OutputTokensHint is the caller's estimate of the output; 0 if there is none.
	OutputTokensHint int
	// Parts are the parts of the prompt, and SpelledParts the list of them as the caller sent
	// it.
	Parts        []cwplacement.PromptPart
	SpelledParts string
}

// spelledParts returns the parts as the caller spelled them. The prompt may be nil.
func (p *Prompt) spelledParts() string {
	if p == nil {
		return ""
	}
	return p.SpelledParts
}

// expectedOutputTokens returns the expected output in tokens.
func (p *Prompt) expectedOutputTokens() int {
	if p.OutputTokensHint > 0 && p.OutputTokensHint < p.MaxOutputTokens {
		return p.OutputTokensHint
	}
	return p.MaxOutputTokens
}
