package cwgate

import "github.com/clementinewell/clementinewell/internal/cwcontrol"

// reportExitFailure reports to the control state that the connection to an instance of
// another domain failed. With isSilent it neither accepted nor refused the connection.
func (a *attempt) reportExitFailure(isSilent bool) {
	for _, m := range a.control.Snapshot().Members {
		if a.site.RelayAddressOf(m.PeerAddress) != a.address {
			continue
		}
		if isSilent {
			a.recordExitSilence(m.PeerAddress)
		}
		a.control.TryPost(cwcontrol.PeerFailed{Address: m.PeerAddress})
		return
	}
}

// recordExitSilence records the beginning of the silence of an exit.
func (a *attempt) recordExitSilence(peerAddress string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, isSilent := a.exitsSilentSince[peerAddress]; !isSilent {
		a.exitsSilentSince[peerAddress] = a.startedAt
	}
}
