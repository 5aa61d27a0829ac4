package cwgate

import "github.com/clementinewell/clementinewell/internal/cwcontrol"

// reportExitFailure tells control that the instance of another domain could not be
// connected to.
func (a *attempt) reportExitFailure() {
	for _, m := range a.control.Snapshot().Members {
		if a.site.RelayAddressOf(m.PeerAddress) == a.address {
			a.control.TryPost(cwcontrol.PeerFailed{Address: m.PeerAddress})
			return
		}
	}
}
