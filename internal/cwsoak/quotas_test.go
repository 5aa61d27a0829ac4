package cwsoak_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// quotaRoute is the route of the accounts with quotas, at a service that no unplanned fault
	// affects.
	quotaRoute = "tick"
	// requestTokens is what a request counts, and jumpingRate and steadyRate are the accounts'
	// tokens a second. The burst of each is as much as its rate.
	requestTokens = 9200.0
	jumpingRate   = 100_000.0
	steadyRate    = steadyDemand * requestTokens / steadyShare
	// steadyDemand is what one account sends, in requests a second, and steadyShare its part of
	// the quota.
	steadyDemand, steadyShare = 200.0, 0.9
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the instances' settings.
	quotaWindow              = 8 * time.Second
	quotaOverage, quotaSlack = 0.25, 110_000.0
	// usualShare is the usual demand of the other account as a part of its quota, and jumpFactor
	// the factor on that during a jump.
	usualShare, jumpFactor = 1.0, 7.0
	// jumpCallers send the demand of that account, each at most one request every jumpInterval,
	// and steadyCallers that of the first.
	jumpCallers, jumpInterval = 24, 100 * time.Millisecond
	steadyCallers             = 10
	// refusedShare bounds the requests within a quota that are refused for it in calm.
	refusedShare = 0.001
)

// buildQuotaAccounts returns the accounts with quotas.
func buildQuotaAccounts() []map[string]any {
	accounts := []map[string]any{cwstandin.NewPublishedAccount("jumping", "secret-jumping-0"), cwstandin.NewPublishedAccount("steady", "secret-steady-0")}
	for n, rate := range []float64{jumpingRate, steadyRate} {
		accounts[n]["unit"], accounts[n]["plain-tokens"], accounts[n]["rate-per-s"], accounts[n]["burst"] = "tokens", requestTokens, rate, rate
	}
	return accounts
}

// isOverQuota reports whether the request was refused for a quota.
func (r response) isOverQuota() bool {
	return r.status == http.StatusTooManyRequests && strings.HasPrefix(r.body, "quota")
}

// runJumps lets the demand of one account jump and fall back, each within a moment, until the context
// ends.
func (s *soakRun) runJumps(ctx context.Context, rng *rand.Rand) {
	var factor atomic.Int64
	factor.Store(1)
	var wg sync.WaitGroup
	for range jumpCallers {
		c := s.newQuotaCaller(rng)
		wg.Go(func() {
			for ctx.Err() == nil {
				share := float64(factor.Load()) * usualShare * jumpingRate / requestTokens * jumpInterval.Seconds() / jumpCallers
				if c.rng.Float64() < share {
					c.sendQuotaRequest("secret-jumping-0")
				}
				<-time.After(jumpInterval)
			}
		})
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(quotaWindow/2 + time.Duration(rng.Int64N(int64(quotaWindow)))):
			factor.Store(1 + jumpFactor - factor.Load())
		}
	}
	wg.Wait()
}

func (s *soakRun) newQuotaCaller(rng *rand.Rand) *caller {
	return &caller{s: s, rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), conns: make(map[*gatewayProcess][]*callerConn)}
}

// sendQuotaRequest sends a request of an account with a quota to any instance.
func (c *caller) sendQuotaRequest(key string) response {
	k := requestKind{route: quotaRoute, key: key}
	resp := c.sendRequest(c.s.instances[c.rng.IntN(len(c.s.instances))], k)
	c.s.checkResponse(resp, k)
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.quotaUses = append(c.s.quotaUses, resp)
	return resp
}

// runSteadyAccount sends what an account may send, evenly, for a time. It counts the requests of the
// part after the first window, and those that were refused for the quota.
func (s *soakRun) runSteadyAccount(rng *rand.Rand, lasts time.Duration) (sent, refused int64) {
	var all, over atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for range steadyCallers {
		c := s.newQuotaCaller(rng)
		wg.Go(func() {
			ticker := time.NewTicker(time.Duration(steadyCallers / steadyDemand * float64(time.Second)))
			defer ticker.Stop()
			for time.Since(start) < lasts {
				<-ticker.C
				resp := c.sendQuotaRequest("secret-steady-0")
				if resp.startedAt.Sub(start) < quotaWindow {
					continue
				}
				all.Add(1)
				if resp.isOverQuota() {
					over.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return all.Load(), over.Load()
}

// checkQuota checks what workers ran of the accounts with quotas in each window: requests count that
// were sent and arrived in it.
func (s *soakRun) checkQuota() {
	arrivals := make(map[string]time.Time)
	for _, w := range s.auxWorkers {
		for _, run := range w.Runs() {
			if at, ok := arrivals[run.RequestID]; !ok || run.ReceivedAt.Before(at) {
				arrivals[run.RequestID] = run.ReceivedAt
			}
		}
	}
	for account, rate := range map[string]float64{"jumping": jumpingRate, "steady": steadyRate} {
		allowed := (rate*quotaWindow.Seconds()+rate)*(1+quotaOverage) + quotaSlack
		uses := slices.DeleteFunc(slices.Clone(s.quotaUses), func(use response) bool {
			_, ran := arrivals[use.requestID]
			return !ran || holderOf(s.sentKeys[use.requestID]) != account
		})
		slices.SortFunc(uses, func(a, b response) int { return cmp.Compare(a.startedAt.UnixNano(), b.startedAt.UnixNano()) })
		most, mostAt := 0.0, time.Time{}
		for first, use := range uses {
			used := 0.0
			for _, other := range uses[first:] {
				if arrivals[other.requestID].Sub(use.startedAt) < quotaWindow {
					used += requestTokens
				}
				if other.startedAt.Sub(use.startedAt) >= quotaWindow {
					break
				}
			}
			if used > most {
				most, mostAt = used, use.startedAt
			}
		}
		s.t.Logf("account %s: %d requests ran, at most %.2f of what is tolerated in a window, from %s", account, len(uses), most/allowed, mostAt.Format("05.000"))
		if most > allowed {
			s.t.Errorf("account %s used %.0f tokens in the window from %s, tolerated %.0f; %d instances were started in it", account, most, mostAt.Format("05.000"), allowed, s.countStarts(mostAt, mostAt.Add(quotaWindow)))
		}
	}
}

// countStarts returns how often instances were started between two times.
func (s *soakRun) countStarts(from, to time.Time) int {
	count := 0
	for _, p := range s.instances {
		for _, at := range p.starts {
			if at.After(from) && at.Before(to) {
				count++
			}
		}
	}
	return count
}
