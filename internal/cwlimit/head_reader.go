package cwlimit

import "io"

// HeadReader reads from a connection and limits the bytes that are read while a response
// head is being read. Heads are parsed by net/http, whose ReadResponse has no limit.
type HeadReader struct {
	r      io.Reader
	peer   string
	inHead bool
	// left is the number of bytes that may still be read of the head.
	left int64
}

// NewHeadReader returns a reader of a connection to the peer. It has no limit until
// BeginHead.
func NewHeadReader(r io.Reader, peer string) *HeadReader {
	return &HeadReader{r: r, peer: peer}
}

// BeginHead limits what is read until EndHead to MaxHeadBytes.
func (h *HeadReader) BeginHead() {
	h.inHead, h.left = true, MaxHeadBytes
}

// EndHead removes the limit.
func (h *HeadReader) EndHead() {
	h.inHead = false
}

// Read returns an *Error once the limit of the head is reached.
func (h *HeadReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, &Error{Step: "read response head", Peer: h.peer, LimitBytes: MaxHeadBytes}
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	return n, err
}
