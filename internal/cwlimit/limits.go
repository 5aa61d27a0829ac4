// Package cwlimit limits how much an instance reads and keeps of the responses of
// endpoints, other instances and the platform. A peer that never ends a response must cost
// neither memory nor time beyond these limits, whatever it announces.
package cwlimit

const (
	// MaxHeadBytes is the limit for the head of a response together with the interim (1xx)
	// heads before it. It is four times the largest head that the platform's callers send.
	MaxHeadBytes = 64 << 10
	// MaxResponseBytes is the limit for one response that is buffered before it is
	// forwarded.
	MaxResponseBytes = 16 << 20
	// MaxEventBytes is the limit for one event of a stream, which is buffered as a response is.
	MaxEventBytes = MaxResponseBytes
	// MaxControlBytes is the limit for one response of the store, the platform or another
	// instance. All items of the store at twice the planned number of endpoints fit.
	MaxControlBytes = 8 << 20
	// maxErrorTextBytes is the limit for the text of an error that may quote a response.
	maxErrorTextBytes = 300
)
