package cwtrial

import "time"

// Scenario describes the load and the faults of a trial.
type Scenario struct {
	// Name identifies the scenario in the tables.
	Name string
	// LoadFactor multiplies the arrival rate of every region,
	// FirstRegionLoadFactor that of the first region in addition.
	LoadFactor, FirstRegionLoadFactor float64
	// HasUnevenSpeeds spreads the speeds of a region's endpoints so that the fastest
	// is ten times as fast as the slowest.
	HasUnevenSpeeds bool
	// ReportLag is the age of a load report on arrival.
	ReportLag time.Duration
	// OutageFrom and OutageTo are the start and end of an outage of the first
	// region, since the start of the trial.
	OutageFrom, OutageTo time.Duration
	// PartitionFrom and PartitionTo are the start and end of a network partition in
	// which no region reaches another.
	PartitionFrom, PartitionTo time.Duration
}

const defaultReportLag = 500 * time.Millisecond

// Scenarios returns the scenarios of the tables.
func Scenarios() []Scenario {
	base := Scenario{LoadFactor: 1, FirstRegionLoadFactor: 1, ReportLag: defaultReportLag}
	with := func(name string, edit func(*Scenario)) Scenario {
		s := base
		s.Name = name
		edit(&s)
		return s
	}
	return []Scenario{
		with("steady", func(*Scenario) {}),
		with("peak in one region", func(s *Scenario) { s.FirstRegionLoadFactor = 2 }),
		with("tenfold speeds", func(s *Scenario) { s.HasUnevenSpeeds = true }),
		with("reports lag 2 s", func(s *Scenario) { s.ReportLag = 2 * time.Second }),
		with("reports lag 10 s", func(s *Scenario) { s.ReportLag = 10 * time.Second }),
		with("region lost and back", func(s *Scenario) { s.OutageFrom, s.OutageTo = 60*time.Second, 120*time.Second }),
		with("regions cut apart", func(s *Scenario) {
			s.FirstRegionLoadFactor, s.PartitionFrom, s.PartitionTo = 1.5, 60*time.Second, 120*time.Second
		}),
		with("at capacity", func(s *Scenario) { s.LoadFactor = 1.45 }),
		with("twice capacity", func(s *Scenario) { s.LoadFactor = 2.9 }),
	}
}
