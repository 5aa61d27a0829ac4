package cwserver_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// TestUnusedConnIsEvicted guards against peers that open connections up to the limit, send nothing
// and so keep the readiness check and the lookups of callers out. A connection with a part of a
// request stays.
func TestUnusedConnIsEvicted(t *testing.T) {
	withLimits(t, respondOK, cwserver.Limits{Conns: 3, EvictsUnused: true}, func(s *testServer) {
		begun := s.dial()
		s.send(begun, "GET / HTTP/1.1\r\n")
		time.Sleep(time.Millisecond) // in the bubble: the age of a connection decides
		kept := s.dial()
		s.send(kept, request)
		s.is.Equal(s.readBody(kept), "ok")
		time.Sleep(time.Millisecond)
		unused := s.dial()
		time.Sleep(time.Millisecond)
		for _, evicted := range []io.Reader{kept, unused} {
			c := s.dial()
			all, err := io.ReadAll(evicted)
			s.is.NoErr(err)
			s.is.Equal(len(all), 0)
			synctest.Wait()
			s.send(c, request)
			s.is.Equal(s.readBody(c), "ok")
		}
		s.send(begun, "Host: a\r\n\r\n")
		s.is.Equal(s.readBody(begun), "ok")
	})
}
