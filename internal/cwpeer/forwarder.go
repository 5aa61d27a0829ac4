package cwpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwframe"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	frameContentType = "application/x-clementinewell-frames"
	// maxForwardConnsPerPeer is the maximum number of connections to one peer, and so of
	// requests that are forwarded to it at the same time.
	maxForwardConnsPerPeer     = 256
	maxIdleForwardConnsPerPeer = 64
)

// Forwarder forwards requests to other instances.
type Forwarder struct {
	auth   *Auth
	client *http.Client
}

// NewForwarder returns a forwarder that signs requests with auth.
func NewForwarder(n cwnet.Net, auth *Auth) *Forwarder {
	transport := cwlimit.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := n.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &cwnet.CountingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     maxForwardConnsPerPeer,
		MaxIdleConnsPerHost: maxIdleForwardConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}, nil, 0)
	return &Forwarder{auth: auth, client: &http.Client{Transport: &cwnet.RenewingTransport{IdleCloser: transport}}}
}

// ForwardedResponse is the response to a forwarded request. Its head has arrived, its
// body may still be arriving.
type ForwardedResponse struct {
	// Head is the first message of the response.
	Head ResponseHead
	// Stream reads the response's body.
	Stream *cwframe.Reader

	body io.Closer
}

// Close releases the response and cancels the request if it is still running.
func (f *ForwardedResponse) Close() {
	_ = f.body.Close()
}

// Forward sends a request to the peer and returns once the head of the response has
// arrived. The error is a *cwanswer.Problem: the one that the peer responded with, or one
// of type peer-failed, whose outcome is NotRun if nothing was sent and Unknown otherwise.
func (f *Forwarder) Forward(ctx context.Context, address string, head *ForwardHead, body io.Reader) (*ForwardedResponse, error) {
	tracker := &cwnet.SendTracker{}
	req, err := f.newRequest(tracker.Attach(ctx), address, head, body)
	if err != nil {
		return nil, forwardProblem(cwanswer.NotRun, address, err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		outcome := cwanswer.Unknown
		if tracker.HasSentNothing() {
			outcome = cwanswer.NotRun
		}
		return nil, forwardProblem(outcome, address, err)
	}
	response, err := readResponse(resp, head.AttemptID, address)
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return response, nil
}

func (f *Forwarder) newRequest(ctx context.Context, address string, head *ForwardHead, body io.Reader) (*http.Request, error) {
	message, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	framed, length, err := frameRequest(message, body)
	if err != nil {
		return nil, err
	}
	// The framed body has no GetBody, so net/http cannot resend the request by itself.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ForwardPath, framed)
	if err != nil {
		return nil, err
	}
	req.ContentLength = length
	req.Header.Set("Content-Type", frameContentType)
	req.Header.Set(authHeader, f.auth.Sign(ForwardPath, message, time.Now()))
	return req, nil
}

// frameRequest returns the framed request and its length in bytes, -1 if unknown. A body
// that is in memory is framed into one buffer; any other is framed while it is read.
func frameRequest(message []byte, body io.Reader) (io.ReadCloser, int64, error) {
	inMemory, ok := body.(*bytes.Reader)
	if !ok {
		r, w := io.Pipe()
		go pipeFrames(w, message, body)
		return r, -1, nil
	}
	var buf bytes.Buffer
	buf.Grow(len(message) + inMemory.Len() + frameOverheadBytes)
	if err := writeFrames(&buf, message, inMemory); err != nil {
		return nil, 0, err
	}
	return io.NopCloser(&buf), int64(buf.Len()), nil
}

// frameOverheadBytes is enough for what framing adds to a short body: the headers of the
// frames and the trailer.
const frameOverheadBytes = 128

func writeFrames(w io.Writer, message json.RawMessage, body io.Reader) error {
	frames := cwframe.NewWriter(w)
	if err := frames.WriteMessage(cwframe.Head, message); err != nil {
		return err
	}
	if _, err := io.Copy(frames, body); err != nil {
		return err
	}
	return frames.Close("")
}

func pipeFrames(w *io.PipeWriter, message []byte, body io.Reader) {
	_ = w.CloseWithError(writeFrames(w, message, body))
}

func readResponse(resp *http.Response, attemptID, address string) (*ForwardedResponse, error) {
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return nil, forwardProblem(cwanswer.Unknown, address, fmt.Errorf("status %d: %s", resp.StatusCode, text))
	}
	stream := cwframe.NewReader(resp.Body)
	frame, err := stream.Next()
	if err != nil {
		return nil, forwardProblem(cwanswer.Unknown, address, err)
	}
	if frame.Kind == cwframe.Failure {
		return nil, problemOf(frame, address)
	}
	response := &ForwardedResponse{Stream: stream, body: resp.Body}
	if frame.Kind != cwframe.Head {
		return nil, forwardProblem(cwanswer.Unknown, address, fmt.Errorf("frame kind %d before the head", frame.Kind))
	}
	if err := json.Unmarshal(frame.Payload, &response.Head); err != nil {
		return nil, forwardProblem(cwanswer.Unknown, address, err)
	}
	if response.Head.AttemptID != attemptID {
		return nil, forwardProblem(cwanswer.Unknown, address, errors.New("answer belongs to another attempt"))
	}
	if err := cwlimit.CheckStatus(address, response.Head.Status); err != nil {
		return nil, forwardProblem(cwanswer.Unknown, address, err)
	}
	return response, nil
}

// problemOf decodes the problem from a Failure frame of the peer at the address. For an
// invalid frame it returns a problem with an unknown outcome.
func problemOf(frame cwframe.Frame, address string) *cwanswer.Problem {
	p := &cwanswer.Problem{}
	if err := json.Unmarshal(frame.Payload, p); err != nil || cwlimit.CheckStatus(address, p.Status) != nil {
		return forwardProblem(cwanswer.Unknown, address, errors.New("unreadable failure"))
	}
	p.Detail = cwlimit.ShortenText(p.Detail)
	return p
}

func forwardProblem(outcome cwanswer.Outcome, address string, err error) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusBadGateway, "peer-failed", outcome, cwlimit.ShortenError(err).Error()).WithOrigin("forward", address)
}
