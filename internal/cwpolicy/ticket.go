package cwpolicy

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"
)

const (
	ticketVersion  = 1
	ticketMACBytes = 16
	ticketIDBytes  = 16
	// ticketFixedBytes is the size of the version, issuer, expiry and two lengths.
	ticketFixedBytes = 1 + 8 + 8 + 1 + 1
	maxTicketBytes   = 400
)

// TicketID identifies one ticket.
type TicketID [ticketIDBytes]byte

// Ticket is the permission to run one non-repeatable request. It may be used only by
// the incarnation that issued it, or by the one to which it was handed over.
type Ticket struct {
	// ID is the random identifier.
	ID TicketID
	// Issuer is the incarnation that issued the ticket.
	Issuer uint64
	// Expiry is the time, in whole milliseconds, from which the ticket must not be used.
	Expiry time.Time
	// Service and Account are the only ones for which the ticket is valid.
	Service, Account string
}

// TicketKey authenticates the tickets of one incarnation. It is created at start and
// leaves the process only in a handover.
type TicketKey [32]byte

// Encode returns the header value of the ticket.
func (k TicketKey) Encode(t Ticket) string {
	b := make([]byte, 0, ticketFixedBytes+ticketIDBytes+len(t.Service)+len(t.Account)+ticketMACBytes)
	b = append(b, ticketVersion)
	b = binary.BigEndian.AppendUint64(b, t.Issuer)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expiry.UnixMilli()))
	b = append(b, t.ID[:]...)
	b = appendString(b, t.Service)
	b = appendString(b, t.Account)
	b = append(b, k.mac(b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// IsAuthentic reports whether the header value was encoded with this key.
func (k TicketKey) IsAuthentic(encoded string) bool {
	b, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil || len(b) < ticketMACBytes {
		return false
	}
	body, sum := b[:len(b)-ticketMACBytes], b[len(b)-ticketMACBytes:]
	return hmac.Equal(sum, k.mac(body))
}

func (k TicketKey) mac(body []byte) []byte {
	h := hmac.New(sha256.New, k[:])
	h.Write(body)
	return h.Sum(nil)[:ticketMACBytes]
}

func appendString(b []byte, s string) []byte {
	b = append(b, byte(len(s)))
	return append(b, s...)
}

// ParseTicket parses a header value. The result is not authenticated. Without
// IsAuthentic it must be used only to find the issuer among the known members.
func ParseTicket(encoded string) (Ticket, error) {
	t := Ticket{}
	if len(encoded) > maxTicketBytes {
		return t, fmt.Errorf("parse ticket: %d bytes, maximum is %d", len(encoded), maxTicketBytes)
	}
	b, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return t, fmt.Errorf("parse ticket: %w", err)
	}
	if len(b) < ticketFixedBytes+ticketIDBytes+ticketMACBytes || b[0] != ticketVersion {
		return t, fmt.Errorf("parse ticket: wrong length or version")
	}
	b = b[1 : len(b)-ticketMACBytes]
	t.Issuer = binary.BigEndian.Uint64(b)
	t.Expiry = time.UnixMilli(int64(binary.BigEndian.Uint64(b[8:])))
	copy(t.ID[:], b[16:])
	rest := b[16+ticketIDBytes:]
	var ok bool
	if t.Service, rest, ok = cutString(rest); !ok {
		return Ticket{}, fmt.Errorf("parse ticket: truncated service")
	}
	if t.Account, rest, ok = cutString(rest); !ok || len(rest) != 0 {
		return Ticket{}, fmt.Errorf("parse ticket: invalid length of account")
	}
	return t, nil
}

func cutString(b []byte) (string, []byte, bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := int(b[0])
	return string(b[1 : 1+n]), b[1+n:], true
}
