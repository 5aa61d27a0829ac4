package cwdispatch

import (
	"bytes"
	"net/http"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
)

func lookupRequest(address, path string) *cwendpoint.Request {
	return &cwendpoint.Request{
		Address: address,
		Method:  http.MethodGet,
		Path:    path,
		Header:  make(http.Header),
		Body:    bytes.NewReader(nil),
	}
}
