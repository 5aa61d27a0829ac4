package cwservice

// Limits limit the load of a service. Zero means no limit.
type Limits struct {
	// RequestsPerSecond limits the requests of all accounts over all instances.
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond,omitempty"`
	// AccountRequestsPerSecond limits the requests of each account over all instances.
	AccountRequestsPerSecond float64 `yaml:"accountRequestsPerSecond" json:"accountRequestsPerSecond,omitempty"`
	// AccountStreams limits the requests in flight of one account at one instance,
	// whether or not they stream.
	AccountStreams int `yaml:"accountStreams" json:"accountStreams,omitempty"`
}

// Retries limit the retries of repeatable requests.
type Retries struct {
	// MaxAttempts is the maximum number of attempts of one request, including the
	// first; 0 means the default of the gateway.
	MaxAttempts int `yaml:"maxAttempts" json:"maxAttempts,omitempty"`
	// Ratio is the number of retries that each successful request allows, such as 0.1;
	// 0 means the default of the gateway.
	Ratio float64 `yaml:"ratio" json:"ratio,omitempty"`
}
