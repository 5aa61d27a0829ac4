// Package cwsite describes where an instance runs and the bounds that the
// deployment sets for it. The values are read once at start and at each reload.
package cwsite

import "time"

// Site is what an instance is told about itself and its deployment.
type Site struct {
	// Name is the machine's name, for logs.
	Name string
	// IP is the address on which the instance is reached.
	IP string
	// Domain and Region say where the instance runs.
	Domain, Region string
	// RegionOf maps each failure domain to its region.
	RegionOf map[string]string
	// CallerAddress, Ready, Directory and Peer are the host and port of each interface.
	CallerAddress, ReadyAddress, DirectoryAddress, PeerAddress string
	// RelayAddress is the host and port on which requests from other regions arrive.
	RelayAddress string
	// SeedPeers are peer addresses to ask first; they may be stale.
	SeedPeers []string
	// StoreAddress is the host and port of the store of published state.
	StoreAddress string
	// CapacityCores is the processor share of the machine in cores.
	CapacityCores float64
	// MaxFiles bounds the open descriptors of the process.
	MaxFiles int
	// Bounds are the figures that the deployment sets.
	Bounds Bounds
}

// Bounds are limits that hold for all instances together or for each of them.
type Bounds struct {
	// ShutdownGrace is the time between the request to stop and the kill.
	ShutdownGrace time.Duration
	// RetryRatio and RetrySlack bound the repeats in any RetryWindow: the ratio
	// of the requests plus the slack, over all instances.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOverage times an endpoint's cold rate plus ColdSlack bounds the requests
	// that it gets in one second while it is cold, over all instances.
	ColdOverage float64
	ColdSlack   float64
	// MaxResponseAge bounds how long callers keep an answer of the directory.
	MaxResponseAge time.Duration
}

// RelayAddressOf returns the address for relayed requests at the instance whose peer
// address is given. Ports are the same on all machines of a deployment.
func (s *Site) RelayAddressOf(peer string) string {
	return hostOf(peer) + s.RelayAddress[len(hostOf(s.RelayAddress)):]
}

// CallerAddressOf returns the address for callers at the instance with the peer address.
func (s *Site) CallerAddressOf(peer string) string {
	return hostOf(peer) + s.CallerAddress[len(hostOf(s.CallerAddress)):]
}

// hostOf returns an IPv4 address without its port.
func hostOf(address string) string {
	for i := range len(address) {
		if address[i] == ':' {
			return address[:i]
		}
	}
	return address
}
