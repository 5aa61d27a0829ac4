package cwlimit_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
)

// memoryBytes is the memory limit of the smallest instances, and budgetBytes a quarter of it.
const (
	memoryBytes = 144 << 20
	budgetBytes = memoryBytes / 4
)

// TestReadAllReturnsWholeBodies guards against a body that is changed or cut where a chunk of
// the buffer ends, and against one that is refused although it is within the limit.
func TestReadAllReturnsWholeBodies(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 4096, 65535, 65536, 65537, 1 << 20, cwlimit.MaxResponseBytes} {
		for _, length := range []int64{-1, int64(size)} {
			is := is.New(t)
			body := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
			budget := cwlimit.NewBudget(memoryBytes)
			buffer, err := budget.ReadAll(iotest.HalfReader(bytes.NewReader(body)), "peer", length, cwlimit.MaxResponseBytes)
			is.NoErr(err)
			is.Equal(buffer.Len(), int64(size))
			is.True(budget.UsedBytes() >= int64(size))
			var got bytes.Buffer
			_, err = buffer.WriteTo(&got)
			is.NoErr(err)
			is.True(bytes.Equal(got.Bytes(), body))
			buffer.Release()
			buffer.Release()
			is.Equal(budget.UsedBytes(), int64(0))
		}
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	read int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read += int64(n)
	return n, err
}

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestReadAllIsLimited guards against a body that is read, or for whose announced length memory
// is taken, beyond its limit or the budget. The error must name the peer and the limit, and
// the memory must be free again.
func TestReadAllIsLimited(t *testing.T) {
	for _, c := range []struct {
		name     string
		body     io.Reader
		length   int64
		max      int64
		read     int64
		isShared bool
	}{
		{"endless body", endless{}, -1, 1 << 20, 1<<20 + 1, false},
		{"announced length beyond the limit", endless{}, 1 << 40, 1 << 20, 0, false},
		{"longer than announced", endless{}, 10, 1 << 20, 1<<20 + 1, false},
		{"endless body beyond the budget", endless{}, -1, 1 << 40, budgetBytes, true},
		{"announced length beyond the budget", endless{}, 1 << 35, 1 << 40, budgetBytes, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			budget := cwlimit.NewBudget(memoryBytes)
			body := &countingReader{Reader: c.body}
			_, err := budget.ReadAll(body, "peer:1", c.length, c.max)
			var limitErr *cwlimit.Error
			is.True(errors.As(err, &limitErr))
			is.Equal(limitErr.Peer, "peer:1")
			is.Equal(limitErr.IsShared, c.isShared)
			is.True(body.read <= c.read)
			is.Equal(budget.UsedBytes(), int64(0))
		})
	}
}

// TestAnnouncedLengthTakesNoMemory guards against memory that is taken for a length which a
// peer announces and does not send.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	is := is.New(t)
	budget := cwlimit.NewBudget(memoryBytes)
	body := iotest.DataErrReader(strings.NewReader("short"))
	buffer, err := budget.ReadAll(body, "peer", cwlimit.MaxResponseBytes, cwlimit.MaxResponseBytes)
	is.NoErr(err)
	defer buffer.Release()
	is.True(budget.UsedBytes() <= 128<<10)
}

// TestLargeResponsesLeaveRoom guards against large responses that fill the whole budget, so
// that the small ones of other endpoints fail.
func TestLargeResponsesLeaveRoom(t *testing.T) {
	is := is.New(t)
	budget := cwlimit.NewBudget(memoryBytes)
	held := 0
	for {
		_, err := budget.ReadAll(bytes.NewReader(make([]byte, 1<<20)), "large", -1, cwlimit.MaxResponseBytes)
		if err != nil {
			break
		}
		held++
	}
	is.True(held >= cwlimit.MaxResponseBytes>>20) // one response of the largest size fits
	for range 100 {
		_, err := budget.ReadAll(strings.NewReader(strings.Repeat("x", 32<<10)), "small", -1, cwlimit.MaxResponseBytes)
		is.NoErr(err)
	}
	is.True(budget.UsedBytes() <= budgetBytes)
}

// TestReplacedBodyIsCounted guards against a body that is transformed in memory beyond the
// budget, or whose memory is not returned.
func TestReplacedBodyIsCounted(t *testing.T) {
	upper := func(body []byte) ([]byte, error) { return bytes.ToUpper(body), nil }
	for name, c := range map[string]struct {
		size int
		fits bool
	}{"fits": {1 << 20, true}, "does not fit twice more": {12 << 20, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := cwlimit.NewBudget(memoryBytes)
			buffer, err := budget.ReadAll(bytes.NewReader(bytes.Repeat([]byte("a"), c.size)), "peer", -1, cwlimit.MaxResponseBytes)
			is.NoErr(err)
			err = buffer.Replace("peer", upper)
			is.Equal(err == nil, c.fits)
			if c.fits {
				var got bytes.Buffer
				_, err = buffer.WriteTo(&got)
				is.NoErr(err)
				is.Equal(got.String(), strings.Repeat("A", c.size))
			}
			buffer.Release()
			is.Equal(budget.UsedBytes(), int64(0))
		})
	}
}
