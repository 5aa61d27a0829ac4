// Package cwframe encodes the stream in which instances forward requests and
// responses: typed frames with a length and a sequence number. The last frame holds
// the number of frames and bytes, so that a truncated stream is never taken for a
// complete one.
package cwframe

// Kind is the type of a frame.
type Kind byte

const (
	// Head is the first frame; its payload is a JSON message.
	Head Kind = 1
	// Data holds bytes of the body.
	Data Kind = 2
	// End is the last frame of a complete stream; its payload is a Trailer.
	End Kind = 3
	// Failure ends a stream that failed; its payload is a JSON problem.
	Failure Kind = 4
)

const (
	// MaxPayloadBytes is the largest payload of one frame.
	MaxPayloadBytes = 64 << 10
	// headerBytes is the length of kind, sequence number and payload length.
	headerBytes = 9
)

// Trailer is the payload of an End frame.
type Trailer struct {
	// Frames is the number of Data frames, and Bytes the sum of their payload lengths.
	Frames uint32 `json:"frames"`
	Bytes  int64  `json:"bytes"`
	// Outcome states whether the request was run; it is empty in a request stream.
	Outcome string `json:"outcome,omitempty"`
}
