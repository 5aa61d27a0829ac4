package cwpeer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
)

const (
	// sharedRecords and sharedPeers are the records of a round and the peers that it tells. A
	// round comes once a second at most.
	sharedRecords = 32
	sharedPeers   = 8
	// controlBytesPerSecond is what an instance may send for control.
	controlBytesPerSecond = 13_000
)

// TestCrashEvidenceIsSmall checks that the evidence which is told at once stays within the bytes
// for control while endpoints end without pause under requests with made-up parts.
func TestCrashEvidenceIsSmall(t *testing.T) {
	is := is.New(t)
	var size int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/protobuf")
	}))
	defer server.Close()
	l := cwcrash.NewLedger(1, nil)
	now := time.Now()
	for endpoint := range uint32(200) {
		var suspects []cwcrash.Suspect
		for part := range uint64(20) {
			id := uint64(endpoint)*20 + part
			suspects = append(suspects, cwcrash.Suspect{Trait: cwcrash.PartTrait(id), Name: "prompt part 2c3f90336aeb"})
		}
		now = now.Add(time.Second)
		l.RecordEnd(cwcrash.Event{ID: endpoint, Request: endpoint, At: now}, suspects)
	}
	client := cwpeer.NewClient(cwnet.NewTCP(), cwpeer.NewAuth(""), cwlimit.NewBudget(0))
	is.NoErr(client.ShareCrashes(t.Context(), strings.TrimPrefix(server.URL, "http://"), l.Reports(now, sharedRecords)))
	t.Logf("%d records take %d bytes", sharedRecords, size)
	is.True(size > 0)
	is.True(size*sharedPeers <= controlBytesPerSecond)
}
