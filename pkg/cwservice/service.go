// Package cwservice defines the service file and the account file, and parses and checks
// them. A service file describes one service; the team of the service keeps it in the
// repository of the service.
package cwservice

// Service is the content of one service file.
type Service struct {
	// Name identifies the service in paths. It consists of lower-case letters, digits
	// and dashes, at most 63.
	Name string `yaml:"name" json:"name"`
	// Kind is Engine or Plain.
	Kind Kind `yaml:"kind" json:"kind"`
	// Model is the model that an engine must have loaded; engine services only.
	Model string `yaml:"model" json:"model,omitempty"`
	// Adapters are the adapters that an engine must have loaded in addition to the
	// model.
	Adapters []string `yaml:"adapters" json:"adapters,omitempty"`
	// Places are the allowed regions: the regions in which requests may be served.
	Places []string `yaml:"places" json:"places"`
	// Transit are the regions whose instances may forward a request that they may not
	// serve. Instances in regions that are in neither list redirect the caller.
	Transit []string `yaml:"transit" json:"transit,omitempty"`
	// Class is the priority class: interactive requests are placed before batch
	// requests.
	Class Class `yaml:"class" json:"class"`
	// Targets are the service level targets.
	Targets Targets `yaml:"targets" json:"targets"`
	// Idempotent states whether a request that matches no operation may be repeated.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Operations are the methods and paths to which Idempotent does not apply.
	Operations []Operation `yaml:"operations" json:"operations,omitempty"`
	// Weights balance cost, tail latency and requests sent to other regions.
	Weights Weights `yaml:"weights" json:"weights"`
	// Limits limit the requests to the service, in total and for each account.
	Limits Limits `yaml:"limits" json:"limits"`
	// PrefixCache states whether engines cache prompt prefixes.
	PrefixCache bool `yaml:"prefixCache" json:"prefixCache,omitempty"`
	// Retries limit the retries of repeatable requests.
	Retries Retries `yaml:"retries" json:"retries"`
	// Fencing states whether engines check the fencing number of an order.
	Fencing Fencing `yaml:"fencing" json:"fencing,omitempty"`
	// Resume states whether engines can resume a stream after a given event number.
	Resume bool `yaml:"resume" json:"resume,omitempty"`
	// Health is the path of a cheap read operation that succeeds while the endpoint
	// works; empty means the path of the load report.
	Health string `yaml:"health" json:"health,omitempty"`
}

// Pool returns the name of the pool of endpoints that serve requests: the model of an
// engine service, or the name of a plain service.
func (s *Service) Pool() string {
	if s.Model != "" {
		return s.Model
	}
	return s.Name
}

// Repeatable reports whether a request with the method and path may run more than once,
// according to the operation that matches it or else to Idempotent.
func (s *Service) Repeatable(method, path string) bool {
	if op := s.Operation(method, path); op != nil {
		return op.Idempotent
	}
	return s.Idempotent
}

// Operation returns the first operation that matches the method and path, or nil.
func (s *Service) Operation(method, path string) *Operation {
	for i := range s.Operations {
		if s.Operations[i].Matches(method, path) {
			return &s.Operations[i]
		}
	}
	return nil
}
