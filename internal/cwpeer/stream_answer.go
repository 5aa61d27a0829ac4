package cwpeer

import (
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

// StreamAnswer is the answer of one instance to the question for a stream.
type StreamAnswer struct {
	// Record is what the instance knows of the stream; nil if that is nothing.
	Record *cwstream.Record
	// IsUncertain is set if the instance knows that the endpoint which began the stream may have
	// restarted with another version.
	IsUncertain bool
	// Revision is that of the instance's published state.
	Revision cwpublished.Revision
	// Err is set if the instance did not answer.
	Err error
}
