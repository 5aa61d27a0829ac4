package cwpolicy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// HopHeaderVersion is the version of the hop header that this code writes.
const HopHeaderVersion = 1

const maxHopHeaderBytes = 512

// HopKind says why a request is passed to another instance.
type HopKind int

const (
	// HopServe passes a request to an instance of the domain that serves it.
	HopServe HopKind = iota
	// HopTicket passes a request to the instance that issued its ticket.
	HopTicket
)

// HopBudget is the forwarding budget of a request. Both counts only fall, so a
// request visits at most three instances.
type HopBudget struct {
	// ServeHopsLeft is how often the request may still be passed to a serving instance.
	ServeHopsLeft int
	// TicketHopsLeft is how often the request may still be passed to its ticket's issuer.
	TicketHopsLeft int
	// Visited are the incarnations of the instances that held the request, in order.
	Visited []uint64
}

// NewHopBudget returns the budget of a request that has just arrived from a caller.
func NewHopBudget(self uint64) HopBudget {
	return HopBudget{ServeHopsLeft: 1, TicketHopsLeft: 1, Visited: []uint64{self}}
}

// Spend returns the budget after the request is passed on. It fails if nothing
// is left or the next instance has held the request before.
func (h HopBudget) Spend(kind HopKind, next uint64) (HopBudget, error) {
	if slices.Contains(h.Visited, next) {
		return h, fmt.Errorf("pass on request: instance %d was visited before", next)
	}
	out := HopBudget{ServeHopsLeft: h.ServeHopsLeft, TicketHopsLeft: h.TicketHopsLeft}
	switch kind {
	case HopServe:
		// A request that was placed stays placed: the ticket hop is gone too.
		out.ServeHopsLeft--
		out.TicketHopsLeft = 0
	case HopTicket:
		out.TicketHopsLeft--
	}
	if out.ServeHopsLeft < 0 || out.TicketHopsLeft < 0 {
		return h, fmt.Errorf("pass on request: no hop left after %d instances", len(h.Visited))
	}
	out.Visited = append(slices.Clone(h.Visited), next)
	return out, nil
}

// String returns the header form: version, counts and visited incarnations.
func (h HopBudget) String() string {
	visited := make([]string, len(h.Visited))
	for i, v := range h.Visited {
		visited[i] = strconv.FormatUint(v, 16)
	}
	return fmt.Sprintf("%d;serveLeft=%d;ticketLeft=%d;visited=%s", HopHeaderVersion, h.ServeHopsLeft, h.TicketHopsLeft, strings.Join(visited, ","))
}

// ParseHopBudget reads the header form. Fields that it does not know are ignored; a
// count above the starting budget is refused.
func ParseHopBudget(s string) (HopBudget, error) {
	h := HopBudget{}
	if len(s) > maxHopHeaderBytes {
		return h, fmt.Errorf("parse hop header: %d bytes, at most %d", len(s), maxHopHeaderBytes)
	}
	version, fields, _ := strings.Cut(s, ";")
	if n, err := strconv.Atoi(version); err != nil || n < 1 {
		return h, fmt.Errorf("parse hop header: version %q", version)
	}
	for field := range strings.SplitSeq(fields, ";") {
		name, value, _ := strings.Cut(field, "=")
		if err := h.setField(name, value); err != nil {
			return HopBudget{}, fmt.Errorf("parse hop header: %w", err)
		}
	}
	if len(h.Visited) == 0 {
		return HopBudget{}, fmt.Errorf("parse hop header: no instance was visited")
	}
	return h, nil
}

func (h *HopBudget) setField(name, value string) error {
	var err error
	switch name {
	case "serveLeft":
		h.ServeHopsLeft, err = parseCount(value)
	case "ticketLeft":
		h.TicketHopsLeft, err = parseCount(value)
	case "visited":
		h.Visited, err = parseVisited(value)
	}
	return err
}

func parseCount(s string) (int, error) {
	if s != "0" && s != "1" {
		return 0, fmt.Errorf("count %q is not 0 or 1", s)
	}
	return int(s[0] - '0'), nil
}

func parseVisited(s string) ([]uint64, error) {
	var visited []uint64
	for part := range strings.SplitSeq(s, ",") {
		v, err := strconv.ParseUint(part, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("visited instance %q", part)
		}
		visited = append(visited, v)
	}
	return visited, nil
}
