package cwconfig_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

func makeAccounts(n int) []cwservice.Account {
	list := make([]cwservice.Account, n)
	for i := range list {
		name := fmt.Sprintf("account-%d", i)
		list[i] = cwservice.Account{Name: name, KeySHA256: cwservice.HashKey(name), Services: []string{"crew-assist", "spec-review"}}
	}
	return list
}

func buildState(b *testing.B, number uint64, list []cwservice.Account) (cwconfig.Set, *cwconfig.State) {
	set, err := cwconfig.Build(number, nil, list)
	if err != nil {
		b.Fatal(err)
	}
	manifest := set.Values[len(set.Values)-1].Value
	state, err := cwconfig.NewState(manifest, nil, set.Values)
	if err != nil {
		b.Fatal(err)
	}
	return set, state
}

// BenchmarkChange measures building the next state after a change of one account, and
// the bytes that an instance fetches for it.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1000, 25_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			list := makeAccounts(n)
			_, state := buildState(b, 1, list)
			list[0].Home = "north"
			next, _ := buildState(b, 2, list)
			manifest := next.Values[len(next.Values)-1].Value
			bytes := len(manifest)
			m, _, _ := cwconfig.ParseManifest(manifest)
			for _, ref := range cwconfig.Missing(m, state) {
				for _, kv := range next.Values {
					if kv.Key == cwconfig.BucketKeyPrefix+ref.Hash {
						bytes += len(kv.Value)
					}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cwconfig.NewState(manifest, state, next.Values); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "bytes/change")
		})
	}
}

// BenchmarkMemory measures the memory of a configuration per account.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 25_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			list := makeAccounts(n)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				_, state := buildState(b, 1, list)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(n), "bytes/account")
				runtime.KeepAlive(state)
			}
		})
	}
}

// BenchmarkAccount measures the lookup of an account that is not in the account cache
// and of one that is.
func BenchmarkAccount(b *testing.B) {
	list := makeAccounts(25_000)
	_, state := buildState(b, 1, list)
	b.Run("first call", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			if state.AccountByKeyHash(list[i*7919%len(list)].KeySHA256) == nil {
				b.Fatal("account is missing")
			}
		}
	})
	b.Run("again", func(b *testing.B) {
		for b.Loop() {
			state.AccountByKeyHash(list[0].KeySHA256)
		}
	})
}
