// Package cwservice defines the service file: the description of one service
// that its team keeps beside the code, with its parsing and its checks.
package cwservice

// Service is one service file.
type Service struct {
	// Name identifies the service in paths; lower-case letters, digits and dashes.
	Name string `yaml:"name" json:"name"`
	// Kind is engine or plain.
	Kind Kind `yaml:"kind" json:"kind"`
	// Model is the model that engines must have loaded; engines only.
	Model string `yaml:"model" json:"model,omitempty"`
	// Adapters are the adapters that must be loaded beside the model.
	Adapters []string `yaml:"adapters" json:"adapters,omitempty"`
	// Places are the regions in which requests may be served.
	Places []string `yaml:"places" json:"places"`
	// Transit are the regions whose entry instances may forward a request that
	// they may not serve. Elsewhere the caller is redirected.
	Transit []string `yaml:"transit" json:"transit,omitempty"`
	// Class orders the queue: interactive before batch.
	Class Class `yaml:"class" json:"class"`
	// Targets are the service levels.
	Targets Targets `yaml:"targets" json:"targets"`
	// Idempotent says whether a request may be repeated where no operation says otherwise.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Operations name the methods and paths that differ from Idempotent.
	Operations []Operation `yaml:"operations" json:"operations,omitempty"`
	// Weights decide between cost, tail latency and share sent away.
	Weights Weights `yaml:"weights" json:"weights"`
	// Limits bound what the service and each account may ask.
	Limits Limits `yaml:"limits" json:"limits"`
	// PrefixCache says whether engines cache prompt prefixes.
	PrefixCache bool `yaml:"prefixCache" json:"prefixCache,omitempty"`
	// Retries bound further attempts of repeatable requests.
	Retries Retries `yaml:"retries" json:"retries"`
	// Fencing says whether engines check the fencing number of an order.
	Fencing Fencing `yaml:"fencing" json:"fencing,omitempty"`
	// Resume says whether engines resume a stream by its last event number.
	Resume bool `yaml:"resume" json:"resume,omitempty"`
	// Health is the path of a cheap read that answers while the endpoint works.
	Health string `yaml:"health" json:"health,omitempty"`
}

// Pool returns the name of the endpoints that serve requests: the model of an
// engine, or the service itself.
func (s *Service) Pool() string {
	if s.Model != "" {
		return s.Model
	}
	return s.Name
}

// Repeatable reports whether a request with the method and path may run more than once.
func (s *Service) Repeatable(method, path string) bool {
	if op := s.Operation(method, path); op != nil {
		return op.Idempotent
	}
	return s.Idempotent
}

// Operation returns the operation that matches the method and path, or nil.
func (s *Service) Operation(method, path string) *Operation {
	for i := range s.Operations {
		if s.Operations[i].Matches(method, path) {
			return &s.Operations[i]
		}
	}
	return nil
}
