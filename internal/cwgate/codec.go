package cwgate

import (
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

// Codec encodes requests to endpoints and other instances, and decodes their responses.
// The adapter of the platform implements it.
type Codec interface {
	// EncodeHead returns the request line and the header fields of an attempt.
	EncodeHead(r *Request, a *AttemptParams) []byte
	// DecodeHead decodes the fields of a response's head that the gateway uses.
	DecodeHead(resp *http.Response) ResponseHead
	// MatchResponse returns whether a response with this status and these fields belongs to the
	// request and not to an earlier one on the same connection.
	MatchResponse(r *Request, status int, field func(name string) string) cwconn.Match
	// DecodeResponseID returns the identifier of the request that a response names; empty if it names
	// none.
	DecodeResponseID(field func(name string) string) string
	// BuildCheck returns a request to the endpoint of an attempt that it answers without running
	// anything.
	BuildCheck(r *Request, endpoint, healthPath string) *cwconn.Check
	// BuildHealthCheck returns a request to an endpoint for its health, which no other endpoint
	// answers.
	BuildHealthCheck(endpoint, address, healthPath string) *cwconn.Check
	// BuildReportCheck returns a request to an endpoint for its report.
	BuildReportCheck(address string) *cwconn.Check
	// DecodeReport decodes a report.
	DecodeReport(body []byte) (EndpointReport, error)
	// DecodeColdTime returns for how long an endpoint is cold according to the response to its
	// health check; false if it doesn't say.
	DecodeColdTime(h http.Header) (time.Duration, bool)
	// EncodeOrigin sets the fields in the head of a relayed response that name what serves the
	// stream.
	EncodeOrigin(h http.Header, o cwstream.Origin)
	// EncodeLeavingEndpoint names the endpoint that is leaving in its response to a relayed request.
	EncodeLeavingEndpoint(h http.Header, l EndpointLife)
	// EncodeCutOff marks the refusal of a relayed request: this instance is cut off from the
	// endpoints.
	EncodeCutOff(h http.Header)
	// EncodeTried names in the refusal of a relayed request the endpoints that it was sent to.
	EncodeTried(h http.Header, endpoints []string)
	// EncodeKeyRefused marks the refusal of a relayed request: this instance does not accept the
	// caller's key.
	EncodeKeyRefused(h http.Header)
	// EncodeKeyChallenge states in the head of a response which kind of key is expected.
	EncodeKeyChallenge(h http.Header)
	// RemoveKey removes the caller's key from the fields to be forwarded.
	RemoveKey(h http.Header)
	// IsPerAttempt reports whether a header field differs between attempts of the same request.
	IsPerAttempt(name string) bool
}

// AttemptParams are the parameters of one attempt of a request, at an endpoint or at
// another instance.
type AttemptParams struct {
	// Endpoint is the identifier of the only endpoint that may run the request. It is
	// empty in requests to another instance.
	Endpoint string
	// Timeout is the time left until the response must be complete.
	Timeout time.Duration
	// EnginePriority orders requests at an engine, from 0 for the most urgent to 9.
	EnginePriority int
	// LastEventID identifies the event after which a stream is resumed; empty to start it.
	LastEventID string
	// ContentLength is the length of the body in bytes.
	ContentLength int
	// IsRelayed is set in requests to another instance. Elapsed is the time spent on the
	// request before it is relayed.
	IsRelayed bool
	Elapsed   time.Duration
	// Origin is what began the stream that a relayed request goes on with; unknown if it begins
	// one.
	Origin cwstream.Origin
	// TriedEndpoints are the endpoints to which a relayed request was sent already.
	TriedEndpoints []string
	// Account is the name of the client account for the endpoint; empty if there is none, and in
	// requests to another instance.
	Account string
	// RelayedAccount is what another instance learns of the account.
	RelayedAccount RelayedAccount
}

// ResponseHead is the decoded head of a response.
type ResponseHead struct {
	// IsSigned is set if an endpoint created the response.
	IsSigned bool
	// IsNotRun is set if the request was not run and will not be.
	IsNotRun bool
	// IsEncoded is set if the body has a content encoding.
	IsEncoded bool
	// IsOtherEndpoint is set if the response is from another endpoint than the expected
	// one.
	IsOtherEndpoint bool
	// RateLimit is the rate limit that the endpoint names.
	RateLimit RateLimitField
	// IsBrittle is set if the endpoint may end if it has to turn requests away.
	IsBrittle bool
	// IsLeaving is set if the endpoint is leaving.
	IsLeaving bool
	// Pause is the time for which the endpoint wants no requests of this instance; 0 if it asks for
	// no pause. It counts only in a response with status 503.
	Pause time.Duration
	// IsExitCutOff is set in a refusal of another instance that is cut off from the endpoints.
	IsExitCutOff bool
	// IsKeyRefused is set in a refusal of another instance that does not accept the key.
	IsKeyRefused bool
	// Origin is what serves the stream, in the response of another instance.
	Origin cwstream.Origin
	// TriedEndpoints are the endpoints to which another instance sent the request before it refused it.
	TriedEndpoints []string
	// LeavingEndpoint is the endpoint that states in the response of another instance that it is
	// leaving; empty if there is none.
	LeavingEndpoint EndpointLife
}

// EndpointLife identifies one run of an endpoint's process.
type EndpointLife struct {
	// ID is the endpoint's identifier, and StartedAtMillis its start in Unix milliseconds.
	ID              string
	StartedAtMillis int64
}

// RateLimitField is the field of a response in which an endpoint names a rate limit.
type RateLimitField struct {
	// IsPresent is set if the response has the field, and Err if its value is not a rate.
	IsPresent bool
	Err       error
	// PerSecond is the rate of requests that the endpoint accepts from all instances
	// together.
	PerSecond float64
}
