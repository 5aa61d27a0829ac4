package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// ExplainedRequest describes a request of which an operator asks where it would go.
type ExplainedRequest struct {
	// Host and Path determine the route.
	Host, Path string
	// Account is the name of the client account; empty if there is none.
	Account string
	// PromptTokens and OutputTokens are the lengths of the prompt and of the output; both are 0
	// for a plain request.
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt. Without PromptTokens their sum is the prompt's length.
	Parts []cwplacement.PromptPart
	// Timeout is how long the caller waits; 0 if the request does not state it.
	Timeout time.Duration
}

// prompt returns the prompt of the request, nil for a plain request.
func (r *ExplainedRequest) prompt() *Prompt {
	tokens := r.PromptTokens
	if tokens == 0 {
		for _, part := range r.Parts {
			tokens += part.Tokens
		}
	}
	if tokens == 0 && r.OutputTokens == 0 {
		return nil
	}
	return &Prompt{Tokens: tokens, MaxOutputTokens: r.OutputTokens, Parts: r.Parts}
}
