package cwstandin

import (
	"time"
)

// WorkerFault is the fault that a worker injects into its response to a request.
type WorkerFault int

const (
	// FaultNone sends a correct response.
	FaultNone WorkerFault = iota
	// FaultReject doesn't run the request and responds that it has not run.
	FaultReject
	// FaultServerError runs the request and responds with status 500.
	FaultServerError
	// FaultLoseResponse runs the request and closes the connection without a response.
	FaultLoseResponse
	// FaultTruncateResponse sends half of the response and closes the connection.
	FaultTruncateResponse
	// FaultExtraResponse sends a response to another request directly after its own.
	FaultExtraResponse
	// FaultUnexpectedResponse sends a response to another request before its own.
	FaultUnexpectedResponse
	// FaultOmitSignature sends a response without a signature.
	FaultOmitSignature
	// FaultHang runs the request and never responds.
	FaultHang
	// FaultTruncateStream closes the connection within the third event that it sends of
	// a stream.
	FaultTruncateStream
	// FaultTruncateSlowStream sends an event every SlowStreamInterval and closes the
	// connection within the last event of a stream.
	FaultTruncateSlowStream
	// FaultLoseStreamEnd closes the connection after the last event of a stream, before its end.
	FaultLoseStreamEnd
	// FaultPauseStream pauses for StreamPause before the third event that it sends of a
	// stream.
	FaultPauseStream
	// FaultRejectAtDeadline acts as FaultReject when the request's deadline expires.
	FaultRejectAtDeadline
	// FaultSlowResponse runs the request and responds after SlowResponseTime.
	FaultSlowResponse
	// FaultRepeatRefusal acts as FaultReject, and sends the refusal once more when the next request
	// arrives on the same connection.
	FaultRepeatRefusal
	// FaultUndelimitedStream is no fault: it sends a stream that has neither a length nor chunks.
	FaultUndelimitedStream
	// FaultExtraRefusal runs the request and answers it, and sends a refusal that names no request when
	// the next request arrives on the same connection.
	FaultExtraRefusal
	// FaultEndlessLine sends bytes that are no response, in one line, until the client closes.
	FaultEndlessLine
	// FaultEndlessField sends a status line and one field until the client closes.
	FaultEndlessField
	// FaultEndlessHead sends a status line and fields until the client closes.
	FaultEndlessHead
	// FaultEndlessInterim sends interim responses until the client closes.
	FaultEndlessInterim
	// FaultEndlessBody sends the body of a response until the client closes.
	FaultEndlessBody
	// FaultEndlessEvent sends the head of a stream and one event until the client closes.
	FaultEndlessEvent
)

// SlowStreamInterval is the time between two events with FaultTruncateSlowStream.
const SlowStreamInterval = time.Second

// SlowResponseTime is the time until the response with FaultSlowResponse.
const SlowResponseTime = 1300 * time.Millisecond

// StreamPause is the pause within a stream with FaultPauseStream.
const StreamPause = 3 * time.Second

// QueueFaults queues faults for the next requests, one for each request.
func (w *Worker) QueueFaults(faults ...WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextFaults = append(w.nextFaults, faults...)
}

// SetDefaultFault sets the fault of requests for which QueueFaults queued none.
func (w *Worker) SetDefaultFault(fault WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.defaultFault = fault
}

// SetFirstRequestFault sets the fault of one request: the first that reaches any of the
// workers.
func SetFirstRequestFault(workers []*Worker, fault WorkerFault) {
	shared := make(chan WorkerFault, 1)
	shared <- fault
	for _, w := range workers {
		w.mu.Lock()
		w.sharedFault = shared
		w.mu.Unlock()
	}
}

// takeFault returns the fault of the next request: that of SetFirstRequestFault, of
// QueueFaults or the default, in this order.
func (w *Worker) takeFault() WorkerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case fault := <-w.sharedFault:
		return fault
	default:
	}
	if len(w.nextFaults) == 0 {
		return w.defaultFault
	}
	fault := w.nextFaults[0]
	w.nextFaults = w.nextFaults[1:]
	return fault
}
