package cwpolicy

// maxPrefixEntries is the maximum number of entries in a generation of the index.
// It limits the memory: an entry takes about 100 bytes.
const maxPrefixEntries = 32768

const maxHoldersPerBlock = 2

// PrefixIndex records to which endpoints prompt blocks were sent. Its size is
// limited by two generations of entries: the older one is dropped when the newer
// one is full.
type PrefixIndex struct {
	newer, older map[uint64]*prefixEntry
}

type prefixEntry struct {
	holders [maxHoldersPerBlock]blockHolder
}

type blockHolder struct {
	endpoint *Endpoint
	epoch    uint32
	// dispatchCount is the endpoint's dispatch count when the block was last sent to it.
	dispatchCount uint32
}

func (h blockHolder) isValidFor(e *Endpoint) bool {
	return h.endpoint == e && h.epoch == e.cacheEpoch && float64(e.dispatchCount-h.dispatchCount) <= e.cacheRetentionRequests
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{newer: make(map[uint64]*prefixEntry), older: make(map[uint64]*prefixEntry)}
}

// lookup stores the entries of the leading known blocks in entries and returns
// their number.
func (x *PrefixIndex) lookup(hashes []uint64, entries *[MaxPrefixBlocks]*prefixEntry) int {
	for i, hash := range hashes {
		entry := x.find(hash)
		if entry == nil {
			return i
		}
		entries[i] = entry
	}
	return len(hashes)
}

func (x *PrefixIndex) find(hash uint64) *prefixEntry {
	if entry := x.newer[hash]; entry != nil {
		return entry
	}
	return x.older[hash]
}

// Record records that the blocks with the hashes were sent to the endpoint.
func (x *PrefixIndex) Record(hashes []uint64, e *Endpoint) {
	for _, hash := range hashes {
		entry := x.newer[hash]
		if entry == nil {
			entry = x.refresh(hash)
		}
		entry.add(e)
	}
}

// refresh moves the entry to the newer generation, or creates it.
func (x *PrefixIndex) refresh(hash uint64) *prefixEntry {
	if len(x.newer) >= maxPrefixEntries {
		x.older = x.newer
		x.newer = make(map[uint64]*prefixEntry)
	}
	entry := x.older[hash]
	if entry == nil {
		entry = &prefixEntry{}
	}
	x.newer[hash] = entry
	return entry
}

// add makes the endpoint the most recent holder.
func (p *prefixEntry) add(e *Endpoint) {
	if p.holders[0].endpoint != e {
		p.holders[1] = p.holders[0]
	}
	p.holders[0] = blockHolder{endpoint: e, epoch: e.cacheEpoch, dispatchCount: e.dispatchCount}
}

// requestsSinceCached returns the number of requests sent to the endpoint since the
// block, and false if the block is no longer expected in its cache.
func (p *prefixEntry) requestsSinceCached(e *Endpoint) (uint32, bool) {
	for i := range p.holders {
		if p.holders[i].isValidFor(e) {
			return e.dispatchCount - p.holders[i].dispatchCount, true
		}
	}
	return 0, false
}
