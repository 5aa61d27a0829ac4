// Package cwpolicy implements the decisions of the gateway: the regions in which
// a request may be served, the endpoint or domain that serves it, when it is
// queued or refused, which instance may run a non-repeatable request, and which
// configuration and membership information is accepted. The package does no I/O,
// starts no goroutines, reads no clock and has no global state: time and
// randomness are passed as arguments.
package cwpolicy
