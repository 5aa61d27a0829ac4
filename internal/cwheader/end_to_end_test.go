package cwheader_test

import (
	"maps"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwheader"
)

// TestEndToEnd guards against a field of one connection that is forwarded, and against an
// end-to-end field that is lost.
func TestEndToEnd(t *testing.T) {
	for _, sc := range []struct {
		name   string
		header http.Header
		want   []string
	}{
		{"none", http.Header{}, nil},
		{"fields of one connection", http.Header{"Te": {"a"}, "Keep-Alive": {"a"}, "A": {"1"}}, []string{"A"}},
		{"excluded", http.Header{"Excluded": {"a"}, "A": {"1"}}, []string{"A"}},
		{"listed out of order and repeatedly", http.Header{"Connection": {"z, b", "A,b, ,c"}, "A": {"1"}, "B": {"1"}, "C": {"1"}, "D": {"1"}, "Z": {"1"}}, []string{"D"}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			got := cwheader.EndToEnd(sc.header, func(name string) bool { return name == "Excluded" })
			is.Equal(slices.Sorted(maps.Keys(got)), sc.want)
		})
	}
}
