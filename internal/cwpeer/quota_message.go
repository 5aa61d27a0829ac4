package cwpeer

import (
	"math"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/internal/cwquota"
)

// QuotaLedger is what this instance knows of the spending on client accounts.
type QuotaLedger interface {
	// MessageTo returns what to tell another instance; nil if no account has a quota.
	MessageTo(peer cwquota.Source, now time.Time) *cwquota.Message
	// Receive applies what another instance told.
	Receive(from cwquota.Source, m *cwquota.Message, now time.Time)
}

// quotaReportTo returns what the ledger tells an instance. The ledger may be nil, and the domain of
// the instance not be known yet.
func quotaReportTo(ledger QuotaLedger, address, domain string, now time.Time) *cwproto.QuotaReport {
	if ledger == nil || domain == "" {
		return nil
	}
	m := ledger.MessageTo(cwquota.Source{Address: address, Domain: domain}, now)
	if m == nil {
		return nil
	}
	report := &cwproto.QuotaReport{Told: protoStatements(&cwquota.Source{}, &m.Told)}
	for i := range m.Relayed {
		report.Relayed = append(report.Relayed, protoStatements(&m.Relayed[i].Source, &m.Relayed[i].Told))
	}
	return report
}

// receiveQuotas applies what an instance told in a message.
func receiveQuotas(ledger QuotaLedger, message *cwproto.ExchangeMessage, now time.Time) {
	report := message.GetQuotas()
	if ledger == nil || report == nil {
		return
	}
	m := &cwquota.Message{Told: toldOf(report.GetTold())}
	for _, r := range report.GetRelayed() {
		m.Relayed = append(m.Relayed, cwquota.Relayed{
			Source: cwquota.Source{Address: r.GetAddress(), Life: r.GetLife(), Domain: r.GetDomain()}, Told: toldOf(r),
		})
	}
	self := message.GetSelf()
	ledger.Receive(cwquota.Source{Address: self.GetPeerAddress(), Life: self.GetIncarnation(), Domain: self.GetDomain()}, m, now)
}

func protoStatements(from *cwquota.Source, told *cwquota.Told) *cwproto.QuotaStatements {
	p := &cwproto.QuotaStatements{
		Domain: from.Domain, Address: from.Address, Life: from.Life, AgeMillis: uint32(max(told.Age, 0).Milliseconds()),
		SlotMillis: uint32(told.SlotPassed.Milliseconds()), Partial: told.IsPartial,
	}
	for _, s := range told.Statements {
		p.Statements = append(p.Statements, protoStatement(&s))
	}
	return p
}

// protoStatement encodes a statement. Zeros at the end of the recent spending are left out.
func protoStatement(s *cwquota.Statement) *cwproto.QuotaStatement {
	p := &cwproto.QuotaStatement{Account: s.Account, Older: uint64(max(s.Older, 0))}
	used := 0
	for i, amount := range s.Recent {
		if amount > 0 {
			used = i + 1
		}
	}
	for _, amount := range s.Recent[:used] {
		p.Recent = append(p.Recent, uint32(min(max(amount, 0), math.MaxUint32)))
	}
	return p
}

func toldOf(p *cwproto.QuotaStatements) cwquota.Told {
	told := cwquota.Told{
		Age: time.Duration(p.GetAgeMillis()) * time.Millisecond, SlotPassed: time.Duration(p.GetSlotMillis()) * time.Millisecond,
		IsPartial: p.GetPartial(),
	}
	for _, s := range p.GetStatements() {
		statement := cwquota.Statement{Account: s.GetAccount(), Older: float64(s.GetOlder())}
		for i, amount := range s.GetRecent() {
			if i < len(statement.Recent) {
				statement.Recent[i] = float64(amount)
			}
		}
		told.Statements = append(told.Statements, statement)
	}
	return told
}
