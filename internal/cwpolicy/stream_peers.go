package cwpolicy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// streamListeners is the number of instances of the region that are told of a stream: all of
	// them and the one that began it rarely end together.
	streamListeners = 2
	// maxRegionWitnesses bounds the instances of the region that are asked about a stream, and
	// maxOtherWitnesses those of other regions that are asked besides the keepers: a stream may be
	// taken up before its instance has told others.
	maxRegionWitnesses, maxOtherWitnesses = 24, 24
)

// StreamListeners returns the addresses of the instances that this one tells of its streams: some
// of its region, and the keeper of its region in another one.
func StreamListeners(self *Member, members []Member, now time.Time) []string {
	inRegion := ranked(self, members, now, func(m *Member) bool { return m.Region == self.Region })
	listeners := inRegion[:min(len(inRegion), streamListeners)]
	if keeper := streamKeeper(self.Region, members, now); keeper != "" {
		listeners = append(listeners, keeper)
	}
	return listeners
}

// StreamWitnesses returns the addresses of the instances that may know a stream which this one
// does not: those of the region, the keeper of each other region, and some others. In a region with
// more than maxRegionWitnesses instances only these are asked, and the keeper of the region.
func StreamWitnesses(self *Member, members []Member, now time.Time) []string {
	inRegion := ranked(self, members, now, func(m *Member) bool { return m.Region == self.Region })
	witnesses := inRegion[:min(len(inRegion), maxRegionWitnesses)]
	asked := map[string]bool{self.Region: len(inRegion) <= maxRegionWitnesses}
	for i := range members {
		if region := members[i].Region; !asked[region] {
			asked[region] = true
			if keeper := streamKeeper(region, withSelf(self, members), now); keeper != "" && keeper != self.PeerAddress && !slices.Contains(witnesses, keeper) {
				witnesses = append(witnesses, keeper)
			}
		}
	}
	others := ranked(self, members, now, func(m *Member) bool { return m.Region != self.Region && !slices.Contains(witnesses, m.PeerAddress) })
	return append(witnesses, others[:min(len(others), maxOtherWitnesses)]...)
}

func withSelf(self *Member, members []Member) []Member {
	return append(slices.Clip(members), *self)
}

// ranked returns the addresses of the usable instances that are selected, in an order that differs
// from instance to instance and rarely changes.
func ranked(self *Member, members []Member, now time.Time, isSelected func(m *Member) bool) []string {
	type scored struct {
		address string
		score   uint64
	}
	var list []scored
	for i := range members {
		if m := &members[i]; m.IsUsable(now, MemberContactTimeout) && isSelected(m) {
			list = append(list, scored{m.PeerAddress, keeperScore(self.PeerAddress, m.PeerAddress)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	addresses := make([]string, len(list))
	for i := range list {
		addresses[i] = list[i].address
	}
	return addresses
}

// streamKeeper returns the address of the instance outside a region that is told of the streams of
// all its instances, so that these are known if the region is lost; empty if there is none. All
// instances agree on it without communication.
func streamKeeper(region string, members []Member, now time.Time) string {
	keeper, highest := "", uint64(0)
	for i := range members {
		m := &members[i]
		if m.Region == region || !m.IsUsable(now, MemberContactTimeout) {
			continue
		}
		if score := keeperScore(region, m.PeerAddress); keeper == "" || score > highest {
			keeper, highest = m.PeerAddress, score
		}
	}
	return keeper
}

func keeperScore(key, address string) uint64 {
	return xxhash.Sum64String(key + " " + address)
}
