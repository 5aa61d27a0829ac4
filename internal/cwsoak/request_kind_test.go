package cwsoak_test

// requestKind is a kind of request and the route of the same name that it uses.
type requestKind struct {
	route string
	// tokens is the token count of a request for a stream, "" for others.
	tokens string
	// isUnsafe is set if the request may run at most once. A stream that is unsafe can't be
	// resumed.
	isUnsafe bool
	// isLong is set if workers take seconds for the response.
	isLong bool
	// key is sent with the request; without one, a key that every configuration has.
	key string
}

// shortKinds are answered fast. longKinds are long under way when the instance stops or the
// configuration changes; what the configuration says of the last three varies.
var (
	shortKinds = []requestKind{{route: "safe"}, {route: "once", isUnsafe: true}, {route: "flow", tokens: "90,30"}}
	longKinds  = []requestKind{
		{route: "slow", isLong: true},
		{route: "late", isLong: true, isUnsafe: true},
		{route: "reel", isLong: true, tokens: "90,30"},
		{route: "tape", isLong: true, tokens: "90,30", isUnsafe: true},
		{route: "move", isLong: true},
		{route: "gone", isLong: true, isUnsafe: true},
		{route: "time", isLong: true},
	}
	// accountKinds are those of requests with keys of their own.
	accountKinds = []requestKind{{route: publicRoute}, {route: quotaRoute}}
)
