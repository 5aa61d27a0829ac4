package cwserver

import (
	"strings"

	"go.uber.org/zap"
)

// maxErrorLogBytes limits what is logged of a message of net/http.
const maxErrorLogBytes = 1 << 10

// errorLog logs the messages of net/http, such as errors of Accept.
type errorLog struct {
	server *Server
}

// Write logs one message. Peers can cause many of them, which must not displace warnings.
func (l errorLog) Write(p []byte) (int, error) {
	message := strings.TrimSpace(string(p[:min(len(p), maxErrorLogBytes)]))
	l.server.Log.Info("HTTP server error", zap.String("server", l.server.name), zap.String("error", message))
	return len(p), nil
}
