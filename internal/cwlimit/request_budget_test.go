package cwlimit_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
)

// TestRequestBudget guards against large requests that displace small ones or take more than their
// part together, against a single large request that is refused, and against a claim that isn't
// given back.
func TestRequestBudget(t *testing.T) {
	const (
		small, large = 16 << 10, 4 << 20
		smallPart    = memoryBytes / 4
		largePart    = memoryBytes / 8
	)
	for _, sc := range []struct {
		name  string
		first []int64
		next  int64
		fits  bool
	}{
		{"small while large ones fill their part", []int64{largePart}, small, true},
		{"large beside small ones", []int64{small, small}, large, true},
		{"large within the part", []int64{large, large, large}, large, true},
		{"large above the part", []int64{largePart - large + 1}, large, false},
		{"single one above the part", nil, 2 * largePart, true},
		{"second one beside a single one above the part", []int64{2 * largePart}, large, false},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			b := cwlimit.NewRequestBudget(memoryBytes)
			var claims []*cwlimit.RequestClaim
			for _, n := range sc.first {
				c := b.NewClaim()
				is.True(c.Resize(n))
				claims = append(claims, c)
			}
			c := b.NewClaim()
			is.Equal(c.Resize(sc.next), sc.fits)
			for _, c := range append(claims, c) {
				c.Release()
				c.Release()
			}
			is.Equal(b.UsedBytes(), int64(0))
			is.True(c.Resize(sc.next))
		})
	}
	t.Run("small ones together", func(t *testing.T) {
		is := is.New(t)
		b := cwlimit.NewRequestBudget(memoryBytes)
		for range smallPart / small {
			is.True(b.NewClaim().Resize(small))
		}
		is.True(!b.NewClaim().Resize(small))
		is.True(b.NewClaim().Resize(large))
	})
	t.Run("a claim that grows from small to large and shrinks", func(t *testing.T) {
		is := is.New(t)
		b := cwlimit.NewRequestBudget(memoryBytes)
		c := b.NewClaim()
		is.True(c.Resize(small))
		is.True(c.Resize(large))
		is.Equal(b.UsedBytes(), int64(large))
		is.True(c.Resize(small))
		is.Equal(b.UsedBytes(), int64(small))
		c.Release()
		is.Equal(b.UsedBytes(), int64(0))
	})
	t.Run("no budget", func(t *testing.T) {
		is := is.New(t)
		var b *cwlimit.RequestBudget
		is.True(b.NewClaim().Resize(1 << 40))
	})
}
