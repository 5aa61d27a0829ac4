package cwpolicy

// maxPrefixEntries bounds the memory of the view: each entry takes about 100 bytes.
const maxPrefixEntries = 32768

const holdersPerBlock = 2

// PrefixView remembers which endpoints were sent which prompt blocks. Two
// generations of entries bound it: the older is dropped when the newer is full.
type PrefixView struct {
	newer, older map[uint64]prefixEntry
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
	return &PrefixView{newer: make(map[uint64]prefixEntry), older: make(map[uint64]prefixEntry)}
}

// lookup fills the entries of the leading blocks that are known.
func (v *PrefixView) lookup(prefix []uint64, out *[MaxPrefixBlocks]prefixEntry) int {
	for i, hash := range prefix {
		entry, ok := v.newer[hash]
		if !ok {
			entry, ok = v.older[hash]
		}
		if !ok {
			return i
		}
		out[i] = entry
	}
	return len(prefix)
}

// Record notes that the endpoint now holds the blocks.
func (v *PrefixView) Record(prefix []uint64, e *Endpoint) {
	for _, hash := range prefix {
		entry, ok := v.newer[hash]
		if !ok {
			entry = v.older[hash]
		}
		v.put(hash, entry.with(e))
	}
}

func (v *PrefixView) put(hash uint64, entry prefixEntry) {
	if len(v.newer) >= maxPrefixEntries {
		v.older = v.newer
		v.newer = make(map[uint64]prefixEntry)
	}
	v.newer[hash] = entry
}

// with returns the entry with the endpoint as its most recent holder.
func (p prefixEntry) with(e *Endpoint) prefixEntry {
	fresh := holder{endpoint: e, epoch: e.cacheEpoch, sent: e.dispatches}
	if p.holders[0].endpoint != e {
		p.holders[1] = p.holders[0]
	}
	p.holders[0] = fresh
	return p
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
