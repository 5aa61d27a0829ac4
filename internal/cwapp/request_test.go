package cwapp_test

import (
	"github.com/clementinewell/clementinewell/pkg/cwclient"
)

func newBookingRequest() cwclient.Request {
	return cwclient.Request{Service: "booking", Method: "POST", Path: "/bookings", Body: []byte(`{"truck":4}`)}
}
