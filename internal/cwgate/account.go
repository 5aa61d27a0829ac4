package cwgate

import (
	"context"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// Reasons of refusals for lack of an accepted key.
const (
	reasonKeyMissing   = "keyMissing"
	reasonKeyMalformed = "keyMalformed"
	reasonKeyUnknown   = "keyUnknown"
	reasonKeyWithdrawn = "keyWithdrawn"
)

// keyRetryAfter is the time after which a caller may retry whose key is accepted by the instance
// that it reached, but not by that in the region which may serve it: the next exchange of
// configurations.
const keyRetryAfter = time.Second

// findAccount sets the client account of the request. It returns a refusal if the route needs a key
// and the configuration in force holds no such key.
func (g *Gate) findAccount(_ context.Context, routed *routedRequest) *Refusal {
	if routed.config.HasAccounts() || routed.RelayedAccount.Name != "" {
		g.codec.RemoveKey(routed.Header)
	}
	if routed.RelayedAccount.ConfigVersion > 0 {
		return g.findRelayedAccount(routed)
	}
	if !routed.config.HasAccounts() {
		return nil
	}
	routed.account = routed.config.AccountOfKey(routed.Key.Text)
	if routed.account != nil || routed.route.IsPublic {
		return nil
	}
	switch {
	case routed.IsRelayed:
		return g.refuseRelayedKey(routed)
	case routed.Key.IsMalformed:
		return g.refuseKey(routed, reasonKeyMalformed)
	case routed.Key.Text == "":
		return g.refuseKey(routed, reasonKeyMissing)
	case g.isConfigUncertain(time.Now()):
		return newUncertainRefusal()
	default:
		return g.refuseKey(routed, reasonKeyUnknown)
	}
}

// refuseKey returns the refusal of a caller whose key is not accepted.
func (g *Gate) refuseKey(routed *routedRequest, reason string) *Refusal {
	g.codec.EncodeKeyChallenge(routed.responder.Header())
	return &Refusal{Status: http.StatusUnauthorized, Reason: reason}
}

// findRelayedAccount sets the client account of a request that another instance relayed. Of the
// configurations of both, the newer one decides: a key that only this instance no longer holds is
// refused, one that it does not hold yet is accepted.
func (g *Gate) findRelayedAccount(routed *routedRequest) *Refusal {
	told := routed.RelayedAccount
	if told.Name == "" {
		// A configuration without accounts lets the key pass.
		routed.account = routed.config.AccountOfKey(routed.Key.Text)
	} else {
		routed.account = routed.config.Account(told.Name)
	}
	if told.ConfigVersion > routed.config.Version || !routed.config.HasAccounts() {
		if routed.account == nil && told.Name != "" {
			routed.account = &cwroute.Account{Name: told.Name}
		}
		return nil
	}
	if routed.account != nil && (told.Name == "" || routed.account.HasFingerprint(told.KeyFingerprint)) {
		return nil
	}
	routed.account = nil
	if routed.route.IsPublic {
		return nil
	}
	return g.refuseRelayedKey(routed)
}

// refuseRelayedKey returns the refusal of a relayed request whose key this instance does not accept.
// The instance that relayed it answers the caller by its own configuration.
func (g *Gate) refuseRelayedKey(routed *routedRequest) *Refusal {
	g.codec.EncodeKeyRefused(routed.responder.Header())
	refusal := newNotRunRefusal(reasonKeyUnknown, keyRetryAfter)
	return &refusal
}

// recordKeyRefused records that an exit has refused the request because of its key. Attempts that
// run side by side may do so at once.
func (a *attempt) recordKeyRefused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.req.isKeyRefused = true
}

// isKeyWithdrawn reports whether the configuration that is in force now no longer accepts the key of
// the request, as an exit has found before.
func (g *Gate) isKeyWithdrawn(routed *routedRequest) bool {
	g.mu.Lock()
	isRefused := routed.isKeyRefused
	g.mu.Unlock()
	if !isRefused || routed.IsRelayed || !routed.isNotRun() || routed.responder.hasBegun {
		return false
	}
	config := g.state.View().Config
	route := config.Match(routed.Host, routed.Path)
	return config.HasAccounts() && config.AccountOfKey(routed.Key.Text) == nil && (route == nil || !route.IsPublic)
}

// relayedAccount returns what an exit learns of the account.
func (r *routedRequest) relayedAccount() RelayedAccount {
	told := RelayedAccount{ConfigVersion: r.config.Version}
	if r.account != nil {
		told.Name, told.KeyFingerprint = r.account.Name, cwroute.Fingerprint(r.Key.Text)
	}
	return told
}

// accountName returns the name of the client account, empty if there is none.
func (r *routedRequest) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// priority returns the priority of the request, that of the account before that of the route; 0 is
// the most urgent.
func (r *routedRequest) priority() int {
	if r.account != nil && r.account.HasPriority {
		return r.account.Priority
	}
	return r.route.Priority
}

// allowsRegion reports whether the request may be served in the region. The homes of the route and
// those of the account both bind.
func (r *routedRequest) allowsRegion(region string) bool {
	return r.route.AllowsRegion(region) && r.account.AllowsRegion(region)
}
