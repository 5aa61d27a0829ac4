package cwplacement

import "time"

const (
	// returnedShare is the share of the usual time below which a caller that states less time left
	// counts as one that comes back after a refusal. What first attempts state varies by less.
	returnedShare = 0.9
	// refusedShare is the share of the time left after which a refused caller comes back at the
	// earliest if it can't be served for want of room. Then it is known by the time that it has left,
	// and most of that time remains.
	refusedShare = 0.25
	// returnedTargetShare is the share of its target up to which a caller that comes back is served
	// like those on time: answered a little late it is better off than refused again.
	returnedTargetShare = 1.25
	// maxUsualTimes bounds the number of targets with a usual time.
	maxUsualTimes = 64
	// usualTimeWeight is the weight of the latest caller in the usual time.
	usualTimeWeight = 0.02
)

// usualTimes are the mean times, in seconds, that callers leave for a response, by the target of their
// route.
type usualTimes map[time.Duration]float64

// record records the time that a caller leaves.
func (u usualTimes) record(rs *Requirements) {
	if rs.ResponseTimeout <= 0 {
		return
	}
	usual, isKnown := u[rs.FirstByteTarget]
	switch {
	case isKnown:
		u[rs.FirstByteTarget] = usual + usualTimeWeight*(rs.ResponseTimeout.Seconds()-usual)
	case len(u) < maxUsualTimes:
		u[rs.FirstByteTarget] = rs.ResponseTimeout.Seconds()
	}
}

// hasReturned reports whether the caller has probably been refused before, since it leaves less time
// than usual.
func (u usualTimes) hasReturned(rs *Requirements) bool {
	return rs.ResponseTimeout > 0 && rs.ResponseTimeout.Seconds() < returnedShare*u[rs.FirstByteTarget]
}

// returnAfter returns when a caller comes back that was refused for want of room, which is expected
// after the given time.
func (req *Request) returnAfter(room time.Duration) time.Duration {
	return max(room, time.Duration(refusedShare*float64(req.ResponseTimeout)))
}

// onTimeShare returns the share of its target up to which a request counts as on time at the endpoint.
// A caller that comes back to an engine is not refused again where a new one of its kind is served.
func (p *Pool) onTimeShare(req *Request, e *Endpoint) float64 {
	if e.engine != nil && p.usual.hasReturned(&req.Requirements) {
		return returnedTargetShare
	}
	return onTimeTargetShare
}
