package cwgate

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwconn"
)

// opening is how an attempt began: the head of a response, or a failure.
type opening struct {
	response *cwconn.Response
	head     ResponseHead
	// chunk and chunkErr are the result of the first read of a stream, if hasChunk is set.
	hasChunk bool
	chunk    []byte
	chunkErr error
	// failure is set if there is no response to be forwarded.
	failure *result
}

// recordHead decodes the head of a response to a request that was sent at sentAt, and records what
// the endpoint states about itself.
func (a *attempt) recordHead(response *cwconn.Response, sentAt time.Time) ResponseHead {
	head := a.codec.DecodeHead(response.Response)
	a.recordRateLimit(head, sentAt)
	a.recordBrittle(head, sentAt)
	a.recordAnnouncement(head, response.Response)
	return head
}

// open sends the request and reads the head of the response, and records whether that proves that the
// request was not run.
func (a *attempt) open(ctx context.Context) opening {
	o := a.exchange(ctx)
	if a.isSent && o.failure != nil && o.failure.notRun {
		a.req.responder.sends.recordNotRun()
	}
	return o
}

// exchange sends the request and reads the head of the response. A response which states that the
// request was not run, or which is not the endpoint's, is a failure.
func (a *attempt) exchange(ctx context.Context) opening {
	sentAt := time.Now()
	response, err := a.conns.Do(ctx, a.buildCall())
	if err != nil {
		r := a.handleCallError(ctx, err)
		return opening{failure: &r}
	}
	a.recordResponse()
	head := a.recordHead(response, sentAt)
	switch {
	case head.IsNotRun || a.exitDomain != "" && !head.IsSigned && promisesNotRun(response.StatusCode):
		r := a.handleRejection(ctx, response, head)
		response.Close()
		return opening{failure: &r}
	case !head.IsSigned || head.IsEncoded:
		response.Close()
		r := a.failUnknown(ctx, fmt.Errorf("status %d from %s: %w", response.StatusCode, a.address, errUnexpectedResponse))
		// An exit responds with this status if an endpoint broke off its response.
		r.isBrokenOff = response.StatusCode == http.StatusBadGateway
		return opening{failure: &r}
	}
	return opening{response: response, head: head}
}
