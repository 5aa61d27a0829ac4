package cwroute

// Service is a group of endpoints that serve the same requests.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConns is the maximum number of connections to one endpoint, over all instances; 0
	// means no limit.
	MaxConns int
	// HealthPath is the path of the endpoints' health checks; empty if it is not stated.
	HealthPath string
	// ColdRate is the number of requests per second that an endpoint takes while it is
	// cold after its start; 0 means no limit.
	ColdRate float64
	// Engine describes the endpoints if they are model engines; nil otherwise.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// MemoryTokens is the memory for prompts and outputs, in tokens.
	MemoryTokens int
	// EventTokens is the number of output tokens in one event of a stream.
	EventTokens int
}
