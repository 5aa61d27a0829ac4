// Package cwquota keeps the quotas of client accounts over all instances together, without an
// arbiter. Each instance charges its own spending at once and that of the others as they state
// it, and decides alone. The package has no I/O, goroutine, clock or global.
package cwquota
