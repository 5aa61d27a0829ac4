package cwpolicy

// maxPrefixEntries bounds the memory of the view: each entry takes about 100 bytes.
const maxPrefixEntries = 32768

const holdersPerBlock = 2

// PrefixView remembers which endpoints were sent which prompt blocks. Two
// generations of entries bound it: the older is dropped when the newer is full.
type PrefixView struct {
	newer, older map[uint64]*prefixEntry
}

type prefixEntry struct {
	holders [holdersPerBlock]holder
}

type holder struct {
	endpoint *Endpoint
	epoch    uint32
	// sent is the endpoint's count of requests when it got the block.
	sent uint32
}

func (h holder) valid(e *Endpoint) bool {
	return h.endpoint == e && h.epoch == e.cacheEpoch && float64(e.dispatches-h.sent) <= e.cacheReach
}

// NewPrefixView returns an empty view.
func NewPrefixView() *PrefixView {
	return &PrefixView{newer: make(map[uint64]*prefixEntry), older: make(map[uint64]*prefixEntry)}
}

// lookup fills the entries of the leading blocks that are known.
func (v *PrefixView) lookup(prefix []uint64, out *[MaxPrefixBlocks]*prefixEntry) int {
	for i, hash := range prefix {
		entry := v.find(hash)
		if entry == nil {
			return i
		}
		out[i] = entry
	}
	return len(prefix)
}

func (v *PrefixView) find(hash uint64) *prefixEntry {
	if entry := v.newer[hash]; entry != nil {
		return entry
	}
	return v.older[hash]
}

// Record notes that the endpoint now holds the blocks.
func (v *PrefixView) Record(prefix []uint64, e *Endpoint) {
	for _, hash := range prefix {
		entry := v.newer[hash]
		if entry == nil {
			entry = v.renew(hash)
		}
		entry.add(e)
	}
}

// renew moves an entry to the newer generation, or makes one.
func (v *PrefixView) renew(hash uint64) *prefixEntry {
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
	p.holders[0] = holder{endpoint: e, epoch: e.cacheEpoch, sent: e.dispatches}
}

// heldBy returns how many requests ago the endpoint got the block, and false if
// it is not believed to hold it any more.
func (p *prefixEntry) heldBy(e *Endpoint) (uint32, bool) {
	for i := range p.holders {
		if p.holders[i].valid(e) {
			return e.dispatches - p.holders[i].sent, true
		}
	}
	return 0, false
}
