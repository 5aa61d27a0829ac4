package cwplacement

// Band ranks work at an engine. Work of a lower band goes first.
type Band int

const (
	// Urgent is work of the most urgent routes that is expected in time.
	Urgent Band = iota
	// Normal is other work that is expected in time.
	Normal
	// Late is work that is expected too late. It gets what the others leave, so
	// that it makes nobody else late.
	Late

	bandCount = 3
)

// bandForPriority returns the band of a request in time by the priority of its route.
func bandForPriority(priority int) Band {
	if priority == 0 {
		return Urgent
	}
	return Normal
}
