package cwpolicy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// HopHeaderVersion is the version of the hop header written by String.
const HopHeaderVersion = 1

const maxHopHeaderBytes = 512

// HopKind is the reason for which a request is forwarded to another instance.
type HopKind int

const (
	// HopServe forwards a request to an instance of the domain that serves it.
	HopServe HopKind = iota
	// HopTicket forwards a request to the instance that owns its ticket.
	HopTicket
)

// HopBudget is the forwarding budget of a request. Both counts only decrease, so
// a request visits at most three instances.
type HopBudget struct {
	// ServeHopsLeft is how often the request may still be forwarded to a serving
	// instance.
	ServeHopsLeft int
	// TicketHopsLeft is how often the request may still be forwarded to the owner of
	// its ticket.
	TicketHopsLeft int
	// Visited are the incarnations of the instances that received the request, in
	// order.
	Visited []uint64
}

// NewHopBudget returns the budget of a request received from a caller by the
// instance with the incarnation self.
func NewHopBudget(self uint64) HopBudget {
	return HopBudget{ServeHopsLeft: 1, TicketHopsLeft: 1, Visited: []uint64{self}}
}

// Spend returns the budget after the request is forwarded to the instance with the
// incarnation next. It fails if no hop of the kind is left or that instance was already
// visited.
func (h HopBudget) Spend(kind HopKind, next uint64) (HopBudget, error) {
	if slices.Contains(h.Visited, next) {
		return h, fmt.Errorf("pass on request: instance %d was visited before", next)
	}
	remaining := HopBudget{ServeHopsLeft: h.ServeHopsLeft, TicketHopsLeft: h.TicketHopsLeft}
	switch kind {
	case HopServe:
		// The placement of a request is final, so the ticket hop is used up as well.
		remaining.ServeHopsLeft--
		remaining.TicketHopsLeft = 0
	case HopTicket:
		remaining.TicketHopsLeft--
	}
	if remaining.ServeHopsLeft < 0 || remaining.TicketHopsLeft < 0 {
		return h, fmt.Errorf("pass on request: no hop left after %d instances", len(h.Visited))
	}
	remaining.Visited = append(slices.Clone(h.Visited), next)
	return remaining, nil
}

// String returns the header value: version, counts and visited incarnations.
func (h HopBudget) String() string {
	visited := make([]string, len(h.Visited))
	for i, v := range h.Visited {
		visited[i] = strconv.FormatUint(v, 16)
	}
	return fmt.Sprintf("%d;serveLeft=%d;ticketLeft=%d;visited=%s", HopHeaderVersion, h.ServeHopsLeft, h.TicketHopsLeft, strings.Join(visited, ","))
}

// ParseHopBudget parses a header value. Unknown fields are ignored and missing counts
// are 0. A count above the initial budget or a missing list of visited incarnations is
// an error.
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
