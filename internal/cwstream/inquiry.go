package cwstream

import "github.com/clementinewell/clementinewell/internal/cwpublished"

// Inquiry is how other instances answered the question for a stream.
type Inquiry struct {
	// IsFound is set if one of them has a record of it.
	IsFound bool
	// IsContradicted is set if the stream was only observed, at several origins.
	IsContradicted bool
	// IsUncertain is set if one of them knows that the endpoint which began the stream may have
	// restarted, with another version, since its entry was read.
	IsUncertain bool
	// Asked is the number of instances that were asked, and Answered that of those which had no
	// record. The others failed or did not answer in time.
	Asked, Answered int
	// Revision is the latest revision of the published state at those that have answered.
	Revision cwpublished.Revision
}
