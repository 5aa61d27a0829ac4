package cwroute_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestFingerprintTellsKeysApart guards against a withdrawn key that an exit takes for another key of
// its account, and against a request without a key that is taken for one with a key.
func TestFingerprintTellsKeysApart(t *testing.T) {
	is := is.New(t)
	a := cwroute.Account{Name: "a", Keys: []string{"k1", "k2"}}
	is.True(a.HasFingerprint(cwroute.Fingerprint("k1")))
	is.True(a.HasFingerprint(cwroute.Fingerprint("k2")))
	is.True(!a.HasFingerprint(cwroute.Fingerprint("k3")))
	is.True(!a.HasFingerprint("k1"))
	is.Equal(cwroute.Fingerprint(""), "")
	is.True(!a.HasFingerprint(""))
	is.Equal(cwroute.Fingerprint("k1"), "6ab9f1eb8f7d3388") // printf %s k1 | sha256sum | cut -c1-16
}

// TestAccountAllowsRegion guards against an account without homes that is bound to a region, and
// against one with homes that is not.
func TestAccountAllowsRegion(t *testing.T) {
	is := is.New(t)
	var none *cwroute.Account
	is.True(none.AllowsRegion("north"))
	is.True((&cwroute.Account{}).AllowsRegion("north"))
	is.True(!(&cwroute.Account{Homes: []string{"south"}}).AllowsRegion("north"))
	is.True((&cwroute.Account{Homes: []string{"south", "north"}}).AllowsRegion("north"))
}

// largeAccounts are as many accounts as the largest site has, with three keys each.
func largeAccounts() []cwroute.Account {
	accounts := make([]cwroute.Account, 25_000)
	for i := range accounts {
		accounts[i].Name = fmt.Sprint("account-", i)
		for n := range 3 {
			accounts[i].Keys = append(accounts[i].Keys, cwroute.Fingerprint(fmt.Sprint(i, n))+"abcd")
		}
	}
	return accounts
}

// BenchmarkAccountOfKey measures the search for the holder of a key, and its median over batches.
func BenchmarkAccountOfKey(b *testing.B) {
	config, accounts := cwroute.NewConfig(1, nil, nil, cwroute.Limits{}), largeAccounts()
	config.SetAccounts(accounts)
	const batch = 100
	var durations []time.Duration
	n := 0
	for b.Loop() {
		start := time.Now()
		for range batch {
			// A step that is coprime to the number of accounts visits all of them.
			n = (n + 7919) % len(accounts)
			if config.AccountOfKey(accounts[n].Keys[n%3]) != &accounts[n] {
				b.Fatal("wrong holder")
			}
		}
		durations = append(durations, time.Since(start)/batch)
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2]), "p50-ns/key")
	b.ReportMetric(float64(durations[len(durations)*99/100]), "p99-ns/key")
}

// BenchmarkSetAccounts measures the index of a configuration.
func BenchmarkSetAccounts(b *testing.B) {
	config, accounts := cwroute.NewConfig(1, nil, nil, cwroute.Limits{}), largeAccounts()
	b.ReportAllocs()
	for b.Loop() {
		config.SetAccounts(accounts)
	}
}

// BenchmarkHasFingerprint measures the check of a relayed key at an exit.
func BenchmarkHasFingerprint(b *testing.B) {
	accounts := largeAccounts()
	fingerprint := cwroute.Fingerprint(accounts[7].Keys[2])
	for b.Loop() {
		accounts[7].HasFingerprint(fingerprint)
	}
}
