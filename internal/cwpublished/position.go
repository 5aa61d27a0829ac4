package cwpublished

// Position is how far the published state of an instance has come.
type Position struct {
	// Revision is the revision up to which the state is complete.
	Revision Revision
	// KeptConfig is the version of the configuration in force if it is newer than the one of the store,
	// which came back from a copy; otherwise 0. Only this tells it from the one that others have at the same
	// revision.
	KeptConfig uint64
}
