package cwpolicy

// maxPrefixEntries bounds the memory of the view: each entry takes about 100 bytes.
const maxPrefixEntries = 32768

const maxHoldersPerBlock = 2

// PrefixIndex remembers which endpoints were sent which prompt blocks. Two
// generations of entries bound it: the older is dropped when the newer is full.
type PrefixIndex struct {
	newer, older map[uint64]*prefixEntry
}

type prefixEntry struct {
	holders [maxHoldersPerBlock]blockHolder
}

type blockHolder struct {
	endpoint *Endpoint
	epoch    uint32
	// dispatchCount is the endpoint's count of requests when it got the block.
	dispatchCount uint32
}

func (h blockHolder) isValidFor(e *Endpoint) bool {
	return h.endpoint == e && h.epoch == e.cacheEpoch && float64(e.dispatchCount-h.dispatchCount) <= e.cacheRetentionRequests
}

// NewPrefixIndex returns an empty view.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{newer: make(map[uint64]*prefixEntry), older: make(map[uint64]*prefixEntry)}
}

// lookup fills the entries of the leading blocks that are known.
func (v *PrefixIndex) lookup(prefix []uint64, out *[MaxPrefixBlocks]*prefixEntry) int {
	for i, hash := range prefix {
		entry := v.find(hash)
		if entry == nil {
			return i
		}
		out[i] = entry
	}
	return len(prefix)
}

func (v *PrefixIndex) find(hash uint64) *prefixEntry {
	if entry := v.newer[hash]; entry != nil {
		return entry
	}
	return v.older[hash]
}

// Record notes that the endpoint now holds the blocks.
func (v *PrefixIndex) Record(prefix []uint64, e *Endpoint) {
	for _, hash := range prefix {
		entry := v.newer[hash]
		if entry == nil {
			entry = v.refresh(hash)
		}
		entry.add(e)
	}
}

// refresh moves an entry to the newer generation, or makes one.
func (v *PrefixIndex) refresh(hash uint64) *prefixEntry {
	if len(v.newer) >= maxPrefixEntries {
		v.older = v.newer
		v.newer = make(map[uint64]*prefixEntry)
	}
	entry := v.older[hash]
	if entry == nil {
		entry = &prefixEntry{}
	}
	v.newer[hash] = entry
	return entry
}

// add makes the endpoint the most recent holder.
func (p *prefixEntry) add(e *Endpoint) {
	if p.holders[0].endpoint != e {
		p.holders[1] = p.holders[0]
	}
	p.holders[0] = blockHolder{endpoint: e, epoch: e.cacheEpoch, dispatchCount: e.dispatchCount}
}

// requestsSinceCached returns how many requests ago the endpoint got the block, and false if
// it is not believed to hold it any more.
func (p *prefixEntry) requestsSinceCached(e *Endpoint) (uint32, bool) {
	for i := range p.holders {
		if p.holders[i].isValidFor(e) {
			return e.dispatchCount - p.holders[i].dispatchCount, true
		}
	}
	return 0, false
}
