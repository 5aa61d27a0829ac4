package cwserver

import (
	"bytes"
	"strconv"
)

// requestFramer finds the ends of requests in the bytes of a connection. It does not
// validate them: net/http does.
type requestFramer struct {
	// head holds the bytes of a head in progress.
	head []byte
	// bodyBytes is what is left of a body.
	bodyBytes int64
	// isOpaque is set for good after a request whose end it can't find: one with a chunked
	// body, an invalid length or a head above maxFramedHeadBytes.
	isOpaque bool
}

// maxFramedHeadBytes is the largest head that is kept in memory to find its end.
const maxFramedHeadBytes = 64 << 10

// take returns how many of the bytes belong to the current head or body, and whether they
// end the request.
func (f *requestFramer) take(p []byte) (n int, isEnd bool) {
	switch {
	case f.isOpaque:
		return len(p), false
	case f.bodyBytes > 0:
		n = int(min(f.bodyBytes, int64(len(p))))
		f.bodyBytes -= int64(n)
		return n, f.bodyBytes == 0
	}
	return f.takeHead(p)
}

func (f *requestFramer) takeHead(p []byte) (n int, isEnd bool) {
	for n < len(p) {
		b := p[n]
		n++
		if len(f.head) == 0 && (b == '\r' || b == '\n') {
			// net/http skips line ends before a request.
			continue
		}
		f.head = append(f.head, b)
		if b == '\n' && (bytes.HasSuffix(f.head, []byte("\n\r\n")) || bytes.HasSuffix(f.head, []byte("\n\n"))) {
			return n, f.finishHead()
		}
		if len(f.head) > maxFramedHeadBytes {
			f.head, f.isOpaque = nil, true
			return len(p), false
		}
	}
	return n, false
}

// finishHead reads the length of the body and reports whether the request ends with its head.
func (f *requestFramer) finishHead() bool {
	for line := range bytes.Lines(f.head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.isOpaque = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil || length < 0 {
				f.isOpaque = true
			}
			f.bodyBytes = length
		}
	}
	f.head = nil
	return !f.isOpaque && f.bodyBytes == 0
}
