package cwlimit

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// uncountedHeadBytes is the memory up to which a head does not count in the budget. Ordinary
	// heads, of about 1 KB in 30 fields, take less.
	uncountedHeadBytes = 8 << 10
	// headCopies is how often the bytes of a head are in memory while it is parsed.
	headCopies = 2
	// fieldBytes is what net/http keeps of a field beside its bytes: an entry of a map that is half
	// full, a list of one value and a string.
	fieldBytes = 128
)

// HeadReader reads from a connection and limits the bytes that are read while a response
// head is being read. Heads are parsed by net/http, whose ReadResponse has no limit. The memory
// that a head takes counts in a budget.
type HeadReader struct {
	r      io.Reader
	peer   string
	inHead bool
	// left is the number of bytes that may still be read of the head.
	left int64
	// bytes and lines are what was read of the head.
	bytes, lines int64
	// memory is what the head and the kept ones before it have reserved, keptBytes the latter's part.
	memory    *Reservation
	keptBytes int64
}

// NewHeadReader returns a reader of a connection to the peer. It has no limit until
// BeginHead. The budget may be nil.
func NewHeadReader(r io.Reader, peer string, budget *Budget) *HeadReader {
	return &HeadReader{r: r, peer: peer, memory: budget.NewReservation()}
}

// BeginHead limits what is read until EndHead to MaxHeadBytes. buffered is what has been read of
// the head already. The heads before count until Release.
func (h *HeadReader) BeginHead(buffered []byte) {
	h.keptBytes = h.memory.bytes
	h.inHead, h.left = true, MaxHeadBytes
	h.bytes, h.lines = int64(len(buffered)), countLines(buffered)
}

// EndHead removes the limit. The fields of the head, nil after an error, count until Release.
func (h *HeadReader) EndHead(header http.Header) {
	h.inHead = false
	h.bytes, h.lines = 0, 0
	for name, values := range header {
		for _, value := range values {
			h.bytes += int64(len(name) + len(value))
			h.lines++
		}
	}
	h.memory.Resize(h.keptBytes)
	h.reserve() // less than what was reserved while it was read
}

// Release returns the memory of the head to the budget. Further calls do nothing.
func (h *HeadReader) Release() {
	h.memory.Release()
}

// Read returns an *Error once the limit of the head or the budget is reached.
func (h *HeadReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, &Error{Step: "read response head", Peer: h.peer, LimitBytes: MaxHeadBytes}
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	h.bytes += int64(n)
	h.lines += countLines(p[:n])
	if !h.reserve() {
		return 0, h.memory.Error("read response head", h.peer)
	}
	return n, err
}

// reserve reserves the memory of what was read of the head. It returns false if that does not fit.
func (h *HeadReader) reserve() bool {
	size := headCopies*h.bytes + fieldBytes*h.lines
	return size <= uncountedHeadBytes || h.memory.Resize(h.keptBytes+size)
}

func countLines(p []byte) int64 {
	return int64(bytes.Count(p, []byte{'\n'}))
}
