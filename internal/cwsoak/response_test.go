package cwsoak_test

import (
	"net/http"
	"time"
)

// response is the outcome of one request as its caller sees it. err is set if the
// response is missing or incomplete.
type response struct {
	requestID string
	// route is the name of the request's route.
	route    string
	instance *gatewayProcess
	status   int
	header   http.Header
	body     string
	err      error
	// isLast is set if the instance takes no more requests on the connection.
	isLast bool
	// startedAt is when the first byte was sent, sentAt when the last one was; it is zero
	// if sending failed.
	startedAt, sentAt, endedAt time.Time
	// idleTime is how long the connection had carried no request before, 0 if it is new.
	idleTime time.Duration
	// isCut is set if the connection ended after the request was sent and before the
	// response was complete, and isRead if the instance had then read the whole request.
	isCut, isRead bool
}
