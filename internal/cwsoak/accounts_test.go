package cwsoak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// publicRoute needs no key. All other routes do.
	publicRoute = "open"
	// changingAccount is the account whose keys are added and withdrawn during the run.
	changingAccount = "changing"
	// configApplyTime is the time after the acknowledgement of a configuration from which the
	// instances in touch handle requests by it, and contactTime that without a disturbance after
	// which an instance is in touch, both by the platform's rules.
	configApplyTime, contactTime = 5 * time.Second, 6 * time.Second
	// minStoreSilence and maxStoreSilence bound the silence of the store for all instances.
	minStoreSilence, maxStoreSilence = time.Second, 4500 * time.Millisecond
	// watchAnswerTime is the time in which a watch tells of a change.
	watchAnswerTime = 30 * time.Millisecond
	// keyUseTime is how long a change of keys stays once it must be applied, and keyUseInterval
	// the pause between two requests of a caller with various keys.
	keyUseTime, keyUseInterval = 1500 * time.Millisecond, 20 * time.Millisecond
)

// keyLife is the time in which the configuration holds a key. addedAt is zero if the first one
// did, and withdrawnAt if the latest one does.
type keyLife struct {
	key                  string
	addedAt, withdrawnAt time.Time
}

// holderOf returns the account that holds a key; "none" for a key that no configuration holds.
func holderOf(key string) string {
	return strings.Split(key, "-")[1]
}

// buildAccounts returns the accounts of the configuration. The caller holds mu.
func (s *soakRun) buildAccounts() []map[string]any {
	var keys []string
	for _, life := range s.keys {
		if life.withdrawnAt.IsZero() {
			keys = append(keys, life.key)
		}
	}
	return append(buildQuotaAccounts(), cwstandin.NewPublishedAccount("first", "secret-first-0", "secret-first-1"),
		cwstandin.NewPublishedAccount("second", "secret-second-0"), cwstandin.NewPublishedAccount(changingAccount, keys...))
}

// setKey sets the key of a request, and for every other one the name of an account that the caller
// may not choose.
func (s *soakRun) setKey(req *http.Request, id, key string) {
	stable := []string{"secret-first-0", "secret-first-1", "secret-second-0"}
	hash := hashID(id)
	if key == "" {
		key = stable[hash%3]
	}
	req.Header.Set(cwstandin.KeyHeader, "Token "+key)
	if hash%2 == 0 {
		req.Header.Set(cwstandin.AccountHeader, "second")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentKeys[id] = key
}

// runWithKeys sends requests with unknown, withdrawn, new and other keys to an instance until the
// context ends, mostly on the same connections.
func (c *caller) runWithKeys(ctx context.Context, p *gatewayProcess) {
	for ctx.Err() == nil {
		k := requestKind{route: "safe", key: c.pickKey()}
		if c.rng.IntN(8) == 0 {
			k = requestKind{route: publicRoute, key: "secret-none-0"}
		}
		resp := c.sendRequest(p, k)
		c.s.checkResponse(resp, k)
		c.s.checkKey(resp, k)
		<-time.After(keyUseInterval)
	}
	for _, conn := range c.conns[p] {
		_ = conn.Close()
	}
}

// pickKey returns a key that is unknown, withdrawn or valid. The latest ones are the likeliest.
func (c *caller) pickKey() string {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	switch n := c.rng.IntN(8); {
	case n == 0:
		return fmt.Sprint("secret-none-", c.rng.IntN(100))
	case n == 1:
		return c.s.keys[c.rng.IntN(len(c.s.keys))].key
	default:
		return c.s.keys[len(c.s.keys)-1-c.rng.IntN(min(4, len(c.s.keys)))].key
	}
}

// checkKey checks the answer to a key that no configuration holds, and records the others.
func (s *soakRun) checkKey(resp response, k requestKind) {
	refusals := []int{http.StatusUnauthorized, http.StatusServiceUnavailable}
	switch {
	case holderOf(k.key) == changingAccount:
		s.mu.Lock()
		s.keyUses = append(s.keyUses, resp)
		s.mu.Unlock()
	case resp.err != nil:
	case k.route == publicRoute && resp.status == http.StatusUnauthorized:
		s.t.Errorf("%s: got 401 on a public route", resp.requestID)
	case k.route != publicRoute && !slices.Contains(refusals, resp.status):
		s.t.Errorf("%s: got %d with a key that no configuration holds, want one of %v", resp.requestID, resp.status, refusals)
	}
}

// startKeyChanges withdraws and adds keys, one after the other, until the function that it returns
// is called: in calm, right after a silence of the store, and while it turns some instances away
// or is silent for them.
func (s *soakRun) startKeyChanges(rng *rand.Rand) func() {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
				s.changeKeys(rng, storeDisturbance(rng.IntN(int(soundStore)+1)), done)
			}
		}
	}()
	return func() { close(done); <-ended }
}

// storeDisturbance is how instances reach the store when keys change.
type storeDisturbance int

const (
	// silentStore is a silence for all before the change.
	silentStore storeDisturbance = iota
	// closedStore turns some instances away, or doesn't answer them.
	closedStore
	soundStore
)

// changeKeys withdraws the oldest key and adds one, and waits until that must have been in force for
// a while, or done is closed.
func (s *soakRun) changeKeys(rng *rand.Rand, disturbance storeDisturbance, done <-chan struct{}) {
	wait := configApplyTime + keyUseTime
	switch disturbance {
	case silentStore:
		s.silenceStore(rng)
		wait = contactTime + keyUseTime
	case closedStore:
		mode := []proxyMode{modeReset, modeDropResponses}[rng.IntN(2)]
		order := rng.Perm(len(s.storeProxies))
		for _, n := range order[:1+rng.IntN(len(order)-1)] {
			s.storeProxies[n].setMode(mode)
			defer s.storeProxies[n].setMode(modePass)
		}
	}
	s.mu.Lock()
	now := time.Now()
	oldest := slices.IndexFunc(s.keys, func(life keyLife) bool { return life.withdrawnAt.IsZero() })
	s.keys[oldest].withdrawnAt = now
	s.keys = append(s.keys, keyLife{key: fmt.Sprint("secret-", changingAccount, "-", len(s.keys)), addedAt: now})
	s.mu.Unlock()
	s.publishConfig()
	select {
	case <-time.After(wait):
	case <-done:
	}
}

// silenceStore makes the store silent for all instances, which begin their next watches meanwhile. What
// they send arrives late or is lost.
func (s *soakRun) silenceStore(rng *rand.Rand) {
	s.publishConfig()
	<-time.After(watchAnswerTime)
	d := minStoreSilence + time.Duration(rng.Int64N(int64(maxStoreSilence-minStoreSilence)))
	from := time.Now()
	if rng.IntN(2) == 0 {
		s.silenceAll(s.storeProxies, d, rng.IntN(2) == 0)
	} else {
		s.setStoreMode(modeDropAll)
		<-time.After(d)
		s.setStoreMode(modePass)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFaults = append(s.storeFaults, span{from: from, to: time.Now()})
}

// checkAccounts checks what workers were told of accounts, and from when on instances in touch
// handled withdrawn and added keys by the configuration.
func (s *soakRun) checkAccounts() {
	ran := make(map[string]bool)
	for _, w := range slices.Concat(s.workers, s.auxWorkers) {
		for _, run := range w.Runs() {
			ran[run.RequestID] = true
			key := s.sentKeys[run.RequestID]
			want := holderOf(key)
			if want == "none" {
				want = ""
			}
			if got := strings.Join(run.Header.Values(cwstandin.AccountHeader), ","); got != want {
				s.t.Errorf("%s: %s was told the account %q, the key is one of %q", run.RequestID, w.ID, got, want)
			}
			if want == "" && !strings.HasPrefix(run.Path, "/"+publicRoute+"/") {
				s.t.Errorf("%s: ran with a key that no configuration holds", run.RequestID)
			}
			if header := fmt.Sprint(run.Header); strings.Contains(header, "secret") || run.Header.Get(cwstandin.KeyHeader) != "" {
				s.t.Errorf("%s: %s got the key: %v", run.RequestID, w.ID, header)
			}
		}
	}
	withdrawn, added := 0, 0
	for _, use := range s.keyUses {
		life := s.keys[slices.IndexFunc(s.keys, func(life keyLife) bool { return life.key == s.sentKeys[use.requestID] })]
		isLate := !life.withdrawnAt.IsZero() && use.startedAt.Sub(life.withdrawnAt) > configApplyTime
		isHeld := use.startedAt.Sub(life.addedAt) > configApplyTime && (life.withdrawnAt.IsZero() || use.endedAt.Before(life.withdrawnAt))
		if !isLate && !isHeld || !s.isInTouch(use) {
			continue
		}
		switch {
		case isLate:
			withdrawn++
		default:
			added++
		}
		if isLate && (use.status == http.StatusOK || ran[use.requestID]) {
			s.t.Errorf("%s: %s served a key %v after its withdrawal", use.requestID, use.instance.ip, use.startedAt.Sub(life.withdrawnAt))
		}
		if isHeld && use.status == http.StatusUnauthorized {
			s.t.Errorf("%s: %s refused a key that is held for %v", use.requestID, use.instance.ip, use.startedAt.Sub(life.addedAt))
		}
	}
	s.t.Logf("%d requests with withdrawn and %d with added keys at instances in touch", withdrawn, added)
	if withdrawn == 0 || added == 0 {
		s.t.Error("no request with a withdrawn or an added key at an instance in touch")
	}
}

// isInTouch reports whether neither the instance of a request nor the whole store was disturbed from
// contactTime before it was sent.
func (s *soakRun) isInTouch(resp response) bool {
	from := resp.startedAt.Add(-contactTime)
	return !resp.instance.hadFault(from, resp.endedAt) && !resp.instance.hadRestart(from, resp.endedAt) &&
		!slices.ContainsFunc(s.storeFaults, func(f span) bool { return f.overlaps(from, resp.endedAt) })
}
