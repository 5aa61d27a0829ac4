package cwpublished

// VersionDoubt is why it is not known that the endpoints of a service had one software version only.
type VersionDoubt string

// Doubts about the versions of a service.
const (
	// SeveralVersions means that there were several, or none.
	SeveralVersions VersionDoubt = "severalVersions"
	// HistoryIncomplete means that endpoints of unknown versions may have been there: the store no longer
	// has the changes, or an entry was removed that this instance has not read.
	HistoryIncomplete VersionDoubt = "historyIncomplete"
	// ConfigChanged means that the configuration has changed meanwhile, so that the route may have led
	// to another service.
	ConfigChanged VersionDoubt = "configChanged"
	// StoreUnread means that the store could not be read, so that another version may have been added.
	StoreUnread VersionDoubt = "storeUnread"
)

// IsTemporary reports whether the doubt may be gone soon.
func (d VersionDoubt) IsTemporary() bool {
	return d == StoreUnread
}
