package cwstream

// Absence is why a ledger has no record of a stream.
type Absence string

// Absences of a record.
const (
	// NeverTold means that no record of the stream was made or received, or that it was removed
	// after its deadline.
	NeverTold Absence = "neverTold"
	// Expired means that the caller's deadline has passed.
	Expired Absence = "expired"
	// Uncertain means that the endpoint may have restarted, with another version, since its entry
	// was read.
	Uncertain Absence = "uncertain"
)
