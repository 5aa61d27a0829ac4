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

// Write logs one message.
func (l errorLog) Write(p []byte) (int, error) {
	message := strings.TrimSpace(string(p[:min(len(p), maxErrorLogBytes)]))
	l.server.Log.Warn("HTTP server error", zap.String("server", l.server.name), zap.String("error", message))
	return len(p), nil
}
