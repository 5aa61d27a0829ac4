// Package cwpolicy holds the decisions of the gateway: where a request may go,
// which endpoint or domain gets it, when it waits or is refused, who may run a
// request that must not be repeated, and which configuration and members to
// believe. Nothing in it does I/O, starts a goroutine, reads a clock or keeps a
// global: time and randomness are arguments.
package cwpolicy
