package cwlimit

// RequestClaim is the memory that one head or body has claimed of a RequestBudget. It must not be
// used concurrently.
type RequestClaim struct {
	budget *RequestBudget
	bytes  int64
}

// Resize sets the claim to n bytes. It returns false if they don't fit; the claim then keeps its
// size.
func (c *RequestClaim) Resize(n int64) bool {
	if !c.budget.resize(c.bytes, n) {
		return false
	}
	c.bytes = n
	return true
}

// Bytes returns the size of the claim.
func (c *RequestClaim) Bytes() int64 {
	return c.bytes
}

// Release returns all bytes to the budget. Further calls do nothing.
func (c *RequestClaim) Release() {
	c.Resize(0)
}
