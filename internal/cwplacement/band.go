package cwplacement

// Band is the scheduling priority of work at an engine. Work of a lower band goes first.
type Band int

const (
	// Urgent is work of the most urgent routes that is expected on time.
	Urgent Band = iota
	// Normal is other work that is expected on time.
	Normal
	// Late is work that is expected to miss its target. It gets the capacity that the
	// other bands leave, so that it delays no other work.
	Late

	bandCount = 3
)

// bandForPriority returns the band of a request that is on time, by the priority of
// its route.
func bandForPriority(priority int) Band {
	if priority == 0 {
		return Urgent
	}
	return Normal
}
