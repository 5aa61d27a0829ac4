package cwsoak_test

import (
	"bytes"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	// maxBodyBytes is the users' limit on a body. largeBodyCount bodies of this size exceed the memory
	// limit almost four times.
	maxBodyBytes   = 4 << 20
	largeBodyCount = 128
	// largeBodyTime is the time in which the bodies are sent, and how long they are then held.
	largeBodyTime = time.Second
)

// runLargeBodies sends many large bodies to one instance at once, each without its last byte, so that
// the instance must hold what it accepts of them. A process above its memory limit is killed with all
// requests that it holds.
func (s *soakRun) runLargeBodies(rng *rand.Rand) {
	p := s.instances[rng.IntN(len(s.instances))]
	body := make([]byte, maxBodyBytes-1)
	var wg sync.WaitGroup
	for range largeBodyCount {
		wg.Go(func() { s.sendLargeBody(p, body) })
	}
	wg.Wait()
	s.checkPeakMemory("large bodies")
}

// sendLargeBody sends the head and body of a request that stays incomplete.
func (s *soakRun) sendLargeBody(p *gatewayProcess, body []byte) {
	conn, err := dialInstance(p)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	req := s.newRequest(p, requestKind{route: "once", isUnsafe: true})
	req.Body, req.ContentLength = nil, 0
	req.Header.Set("Content-Length", strconv.Itoa(maxBodyBytes))
	var head bytes.Buffer
	head.WriteString("POST " + req.URL.Path + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&head)
	head.WriteString("\r\n")
	end := time.Now().Add(2 * largeBodyTime)
	_ = conn.SetDeadline(end)
	// An instance that refuses the body doesn't read it.
	if _, err := conn.Write(head.Bytes()); err == nil {
		_, _ = conn.Write(body)
	}
	<-time.After(time.Until(end))
}
