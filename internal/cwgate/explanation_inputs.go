package cwgate

// ExplanationInputs are the versions and ages of what a RequestExplanation is based on. The ages
// of entries, peer reports and capacities are with the candidates.
type ExplanationInputs struct {
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"configVersion"`
	// Revision and Era are those of the published state.
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era"`
	// IsStoreUnreachable is set while this instance can't read the published state.
	IsStoreUnreachable bool `json:"storeUnreachable"`
	// PeerReports is the number of instances of the region whose work is known, and the ages are
	// those of the latest and of the oldest of their reports; null without any.
	PeerReports                int      `json:"peerReports"`
	LatestPeerReportAgeSeconds *float64 `json:"latestPeerReportAgeSeconds"`
	OldestPeerReportAgeSeconds *float64 `json:"oldestPeerReportAgeSeconds"`
	// UptimeSeconds is the time since the start of this instance. AreCapacitiesExpected is set
	// while the capacities of other regions may not have arrived since then.
	UptimeSeconds         float64 `json:"uptimeSeconds"`
	AreCapacitiesExpected bool    `json:"capacitiesExpected"`
}
