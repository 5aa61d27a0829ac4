package cwgate

import "github.com/clementinewell/clementinewell/internal/cwcontrol"

// reportExitFailure reports to the control state that the connection to an instance of
// another domain failed.
func (a *attempt) reportExitFailure() {
	for _, m := range a.control.Snapshot().Members {
		if a.site.RelayAddressOf(m.PeerAddress) == a.address {
			a.control.TryPost(cwcontrol.PeerFailed{Address: m.PeerAddress})
			return
		}
	}
}
