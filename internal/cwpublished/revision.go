package cwpublished

// Revision is a position in the history of the published state: the store's revision, within
// an era of the store. A store that comes back from an older copy begins the next era and
// gives revisions out again. Positions are ordered by era and then by revision, which is the
// order of the numbers: the era is in the upper bits. In era 0, or with a store that states
// no era, the number is the store's revision.
type Revision uint64

// storeRevisionBits is the number of bits for the store's revision. 2^48 revisions suffice for
// a million changes a second over eight years.
const storeRevisionBits = 48

// NewRevision returns the position of the store's revision in an era.
func NewRevision(era, storeRevision uint64) Revision {
	return Revision(era<<storeRevisionBits | storeRevision&(1<<storeRevisionBits-1))
}

// Era returns the era of the store; 0 before the store was restored for the first time.
func (r Revision) Era() uint64 {
	return uint64(r) >> storeRevisionBits
}

// StoreRevision returns the store's revision within the era.
func (r Revision) StoreRevision() uint64 {
	return uint64(r) & (1<<storeRevisionBits - 1)
}
