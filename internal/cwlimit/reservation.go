package cwlimit

// Reservation is the memory that one response has reserved of a budget. It must not be used
// concurrently.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// NewReservation returns a reservation of 0 bytes.
func (b *Budget) NewReservation() *Reservation {
	return &Reservation{budget: b}
}

// Grow reserves n more bytes. It returns false if they don't fit.
func (r *Reservation) Grow(n int64) bool {
	if !r.budget.reserve(r.bytes, n) {
		return false
	}
	r.bytes += n
	return true
}

// Resize sets the reservation to n bytes. It returns false if they don't fit.
func (r *Reservation) Resize(n int64) bool {
	if n > r.bytes {
		return r.Grow(n - r.bytes)
	}
	r.budget.release(r.bytes - n)
	r.bytes = n
	return true
}

// Release returns all bytes to the budget. Further calls do nothing.
func (r *Reservation) Release() {
	r.budget.release(r.bytes)
	r.bytes = 0
}
