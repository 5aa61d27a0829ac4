package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// streamDeadline is the deadline of a stream with all its attempts.
const streamDeadline = 12 * time.Second

// streamConfig returns a configuration with one route of streams that may be resumed.
func streamConfig() map[string]any {
	engine := map[string]any{"slots": 64, "kv-capacity": 339156, "stride": 6, "token-kv-bytes": 18432, "link-mbps": 88000.0, "models": []map[string]any{{"name": "m"}}}
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{
				"name": "r-assist", "host": host, "path-prefix": "/assist/", "type": "streaming", "timeout-ms": 12000, "target-latency-ms": 600,
				"priority": 0, "service": "pool", "max-attempts": 2, "session-affinity": true, "resumable": true, "gap-aim-ms": 300, "home-regions": []string{},
			},
			{"name": "r-look", "host": host, "path-prefix": "/look/", "type": "safe", "timeout-ms": 5000, "target-latency-ms": 600, "priority": 2, "service": "pool", "max-attempts": 2},
		},
		"services": []map[string]any{{"name": "pool", "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false, "cold-s": 3.0, "cold-per-s": 2.3, "engine": engine}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// stream is a stream that a client reads.
type stream struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
	status int
	// text is the body of an answer that is no success.
	text string
	// events are the identifiers of the events so far, and isComplete is set at the end of the answer.
	events     []string
	isComplete bool
	// versions are the software versions that the events name.
	versions map[string]bool
}

var errNoStream = errors.New("no stream")

// openStream sends a streaming request, which takes up another one if resumes is set, and reads the head
// of its answer.
func (g *gateway) openStream(path, id, resumes, lastEvent string, deadline time.Duration) (*stream, error) {
	conn, err := net.DialTimeout("tcp", g.ip+":8144", time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", g.ip, err)
	}
	_ = conn.SetDeadline(time.Now().Add(deadline))
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nClementinewell-Request-Id: %s\r\nClementinewell-Deadline-Ms: %d\r\nClementinewell-Model: m\r\nClementinewell-Token-Count: 200,60\r\nClementinewell-Prompt-Prefix: 5c1e07a2:100,%x:100\r\n",
		path, host, id, deadline.Milliseconds(), id)
	if resumes != "" {
		text += "Resumes: " + resumes + "\r\nLast-Event-Id: " + lastEvent + "\r\n"
	}
	if _, err = io.WriteString(conn, text+"Content-Length: 2\r\n\r\nxy"); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("send to %s: %w", g.ip, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("read answer of %s: %w", g.ip, err)
	}
	s := &stream{id: id, conn: conn, reader: bufio.NewReader(resp.Body), status: resp.StatusCode, versions: make(map[string]bool)}
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(s.reader)
		s.text = strings.TrimSpace(string(body))
		_ = conn.Close()
		return s, errNoStream
	}
	return s, nil
}

// readEvent reads the next event. The error is io.EOF at the end of a complete answer.
func (s *stream) readEvent() error {
	id, version := "", ""
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			s.isComplete = errors.Is(err, io.EOF) && line == "" && id == ""
			if s.isComplete {
				return io.EOF
			}
			return fmt.Errorf("read event: %w", io.ErrUnexpectedEOF)
		}
		line = strings.TrimRight(line, "\r\n")
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
		}
		if value, ok := strings.CutPrefix(line, "data:"); ok {
			version = strings.TrimSpace(value)
		}
		if line == "" && id != "" {
			s.events, s.versions[version] = append(s.events, id), true
			return nil
		}
	}
}

// readAll reads to the end of the answer.
func (s *stream) readAll() {
	var err error
	for err == nil {
		err = s.readEvent()
	}
	_ = s.conn.Close()
}
