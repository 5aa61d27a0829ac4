package cwapp_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	cwwire "github.com/clementinewell/clementinewell/platform"
)

// maxErrorText is the most that an error may quote of a response: some hundred bytes.
const maxErrorText = 600

// countingNet counts the bytes read from the connections that it opens.
type countingNet struct {
	cwnet.Net
	read atomic.Int64
}

func (n *countingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, read: &n.read}, nil
}

type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// bufferedBytes allows for what a client has buffered of a body when it reads a head.
const bufferedBytes = 64 << 10

// controlCall is a call whose whole response is read.
type controlCall struct {
	name string
	// maxBodyBytes is the limit for the body of the response.
	maxBodyBytes int64
	call         func(ctx context.Context, n cwnet.Net, address string) error
}

// controlCalls returns every call of an instance to the platform, to other instances and to
// endpoints, except for callers' requests.
func controlCalls(budget *cwlimit.Budget) []controlCall {
	store := func(n cwnet.Net, address string) *cwwire.StoreClient {
		return cwwire.NewStoreClient(address, n, budget)
	}
	peer := func(n cwnet.Net) *cwpeer.Client { return cwpeer.NewClient(n, cwpeer.NewAuth(""), budget) }
	return []controlCall{
		{"store range", cwlimit.MaxControlBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, err := store(n, address).Range(ctx, "")
			return err
		}},
		{"store watch", cwlimit.MaxControlBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, err := store(n, address).Watch(ctx, 1, time.Second)
			return err
		}},
		{"peer exchange", cwlimit.MaxControlBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, _, err := peer(n).Exchange(ctx, address, &cwproto.ExchangeMessage{})
			return err
		}},
		{"peer fetch of published state", cwlimit.MaxControlBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, err := peer(n).FetchPublished(ctx, address, 1)
			return err
		}},
		{"peer fetch of configuration", cwlimit.MaxControlBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, err := peer(n).FetchConfig(ctx, address, nil)
			return err
		}},
		{"peer takeover", cwlimit.MaxControlBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, err := peer(n).TakeOver(ctx, address, nil)
			return err
		}},
		{"configuration value", cwlimit.MaxControlBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, err := cwplatform.NewReader("http://"+address, n, budget).Read(ctx, "key")
			return err
		}},
		{"endpoint load", bufferedBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, err := cwendpoint.NewClient(n).FetchLoad(ctx, address)
			return err
		}},
		{"endpoint cancellation", bufferedBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			return cwendpoint.NewClient(n).Cancel(ctx, address, "attempt")
		}},
		{"forwarded request", 2 * bufferedBytes, func(ctx context.Context, n cwnet.Net, address string) error {
			_, err := cwpeer.NewForwarder(n, cwpeer.NewAuth("")).Forward(ctx, address, &cwpeer.ForwardHead{}, strings.NewReader(""))
			return err
		}},
	}
}

// runEndless makes the call to a peer that sends the response, and returns the bytes
// that were read from the peer, and the error.
func runEndless(t *testing.T, c controlCall, response *cwstandin.EndlessResponse) (int64, error) {
	server := httptest.NewServer(response)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	n := &countingNet{Net: cwnet.NewTCP()}
	err := c.call(ctx, n, strings.TrimPrefix(server.URL, "http://"))
	if ctx.Err() != nil {
		t.Error("ended by its time, not by a limit")
	}
	return n.read.Load(), err
}

// TestEndlessHeadsEndCalls guards against a store, platform, instance or endpoint whose
// response head never ends: net/http allows 10 MB.
func TestEndlessHeadsEndCalls(t *testing.T) {
	for _, c := range controlCalls(cwlimit.NewBudget(0)) {
		for _, response := range cwstandin.EndlessHeads() {
			t.Run(c.name+"/"+response.Name, func(t *testing.T) {
				is := is.New(t)
				read, err := runEndless(t, c, response)
				is.True(err != nil)
				is.True(len(err.Error()) <= maxErrorText)
				is.True(read <= cwlimit.MaxHeadBytes+bufferedBytes)
			})
		}
	}
}

// TestEndlessBodiesEndCalls guards against a response whose body never ends and is collected
// in memory until the time of the call is over. The budget must be free again.
func TestEndlessBodiesEndCalls(t *testing.T) {
	const plain = "Content-Type: application/json\r\nRevision: 1\r\n"
	budget := cwlimit.NewBudget(0)
	for _, c := range controlCalls(budget) {
		for _, response := range []*cwstandin.EndlessResponse{
			{Name: "no length", Start: "HTTP/1.1 200 OK\r\n" + plain + "\r\n", Repeated: " "},
			{Name: "JSON", Start: "HTTP/1.1 200 OK\r\n" + plain + "\r\n{\"items\":[", Repeated: `{"key":"a"},`},
			{Name: "length beyond any memory", Start: "HTTP/1.1 200 OK\r\n" + plain + "Content-Length: 1000000000000\r\n\r\n", Repeated: " "},
			{Name: "chunks", Start: "HTTP/1.1 200 OK\r\n" + plain + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "400\r\n" + strings.Repeat(" ", 1<<10) + "\r\n"},
			{Name: "error", Start: "HTTP/1.1 500 Error\r\n" + plain + "\r\n", Repeated: "error "},
		} {
			t.Run(c.name+"/"+response.Name, func(t *testing.T) {
				is := is.New(t)
				read, err := runEndless(t, c, response)
				// A poll takes any status as a sign of life.
				is.True(err != nil || c.maxBodyBytes == bufferedBytes)
				is.True(err == nil || len(err.Error()) <= maxErrorText)
				is.True(read <= 2*c.maxBodyBytes+bufferedBytes) // chunks take up to as much again
				is.Equal(budget.UsedBytes(), int64(0))
			})
		}
	}
}

// TestLongErrorsAreShortened guards against an error, and so a log line, that quotes a whole
// response: net/http, the decoders and the client of the peers quote what they can't use.
func TestLongErrorsAreShortened(t *testing.T) {
	long := strings.Repeat("9", 32<<10)
	start := "HTTP/1.1 200 OK\r\n"
	for _, c := range controlCalls(cwlimit.NewBudget(0)) {
		for _, response := range []*cwstandin.EndlessResponse{
			{Name: "no HTTP", Start: long + "\r\n", Repeated: "x"},
			{Name: "field", Start: start + long + "\r\n", Repeated: "x"},
			{Name: "era", Start: start + "Store-Era: " + long + "\r\nRevision: " + long + "\r\nContent-Length: 2\r\n\r\n{}", Repeated: "x"},
			{Name: "number", Start: start + "Content-Type: application/json\r\nContent-Length: 32788\r\n\r\n{\"current-rev\":" + long, Repeated: "}     "},
			{Name: "problem", Start: "HTTP/1.1 500 Error\r\nContent-Type: application/json\r\nContent-Length: 33000\r\n\r\n{\"code\":\"internal\",\"msg\":\"" + long, Repeated: "\"}" + strings.Repeat(" ", 4096)},
			{Name: "redirect", Start: "HTTP/1.1 302 Found\r\nContent-Length: 0\r\nLocation: http://" + long + "/\r\n\r\n", Repeated: "x"},
		} {
			t.Run(c.name+"/"+response.Name, func(t *testing.T) {
				is := is.New(t)
				_, err := runEndless(t, c, response)
				is.True(err == nil || len(err.Error()) <= maxErrorText)
			})
		}
	}
}
