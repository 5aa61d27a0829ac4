// Package cwsite describes where an instance runs and the bounds that the deployment sets
// for it. The values are read at the start and at each reload, which applies only the seed
// peers and the bounds on retries and on cold endpoints.
package cwsite

import "time"

// Site is the location, the addresses and the bounds of an instance.
type Site struct {
	// Name is the machine's name.
	Name string
	// IP is the address on which the instance is reached.
	IP string
	// Domain and Region are the failure domain and the region of the instance.
	Domain, Region string
	// RegionByDomain maps each failure domain to its region.
	RegionByDomain map[string]string
	// CallerAddress, ReadyAddress, DirectoryAddress and PeerAddress are the host and
	// port of each interface.
	CallerAddress, ReadyAddress, DirectoryAddress, PeerAddress string
	// RelayAddress is the host and port that receives requests from other regions.
	RelayAddress string
	// SeedPeers are the peer addresses to contact first; they may be stale.
	SeedPeers []string
	// StoreAddress is the host and port of the store of published state.
	StoreAddress string
	// StoreHistory is how long the store keeps changes; 0 if that is not known.
	StoreHistory time.Duration
	// CapacityCores is the instance's share of the machine's processors, in cores.
	CapacityCores float64
	// MemoryBytes is the memory limit of the process; 0 if it is not known.
	MemoryBytes int64
	// MaxFiles is the maximum number of open file descriptors of the process.
	MaxFiles int
	// Bounds are the limits that the deployment sets.
	Bounds Bounds
}

// Bounds are limits that hold for all instances together or for each of them.
type Bounds struct {
	// ShutdownGrace is the time from the request to stop until the process is killed.
	ShutdownGrace time.Duration
	// RetryRatio and RetrySlack bound the retries of all instances in any RetryWindow:
	// the number of requests times the ratio, plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOverage and ColdSlack bound the requests of all instances to a cold endpoint
	// in one second: its cold rate times the overage, plus the slack.
	ColdOverage float64
	ColdSlack   float64
	// QuotaWindow is the length of the windows for which quotas of client accounts hold,
	// QuotaOverage the fraction and QuotaSlack the amount that is tolerated beyond them.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// MaxResponseAge is how long callers may cache a response of the directory.
	MaxResponseAge time.Duration
}

// RelayAddressOf returns the address for relayed requests at the instance with the peer
// address. Ports are the same on all machines of a deployment.
func (s *Site) RelayAddressOf(peerAddress string) string {
	return hostOf(peerAddress) + s.RelayAddress[len(hostOf(s.RelayAddress)):]
}

// CallerAddressOf returns the address for callers at the instance with the peer address,
// as RelayAddressOf does for relayed requests.
func (s *Site) CallerAddressOf(peerAddress string) string {
	return hostOf(peerAddress) + s.CallerAddress[len(hostOf(s.CallerAddress)):]
}

// hostOf returns the host of an IPv4 address with or without a port.
func hostOf(address string) string {
	for i := range len(address) {
		if address[i] == ':' {
			return address[:i]
		}
	}
	return address
}
