// Package cwframe encodes the stream in which instances forward requests and
// answers: typed frames with a length and a sequence number, and a last frame
// with the count, so that a stream that was cut off is never taken for whole.
package cwframe

// Kind tells frames apart.
type Kind byte

const (
	// Head is the first frame; its payload is a JSON message.
	Head Kind = 1
	// Data carries bytes of the body.
	Data Kind = 2
	// End is the last frame of a whole stream; its payload is a Trailer.
	End Kind = 3
	// Failure ends a stream that failed; its payload is a JSON problem.
	Failure Kind = 4
)

const (
	// MaxPayloadBytes bounds the payload of one frame.
	MaxPayloadBytes = 64 << 10
	headerBytes     = 9
)

// Trailer is the payload of an End frame.
type Trailer struct {
	// Frames is the number of Data frames; Bytes is their length.
	Frames uint32 `json:"frames"`
	Bytes  int64  `json:"bytes"`
	// Outcome says whether the request ran; empty in requests.
	Outcome string `json:"outcome,omitempty"`
}
