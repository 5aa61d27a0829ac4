package cwservice

// Limits bound the load of a service. Zero means no limit.
type Limits struct {
	// RequestsPerSecond bounds the service over all instances.
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond,omitempty"`
	// AccountRequestsPerSecond bounds each account over all instances.
	AccountRequestsPerSecond float64 `yaml:"accountRequestsPerSecond" json:"accountRequestsPerSecond,omitempty"`
	// AccountStreams bounds the requests in flight of one account at one instance.
	AccountStreams int `yaml:"accountStreams" json:"accountStreams,omitempty"`
}

// Retries bound further attempts of repeatable requests.
type Retries struct {
	// MaxAttempts is the number of attempts of one request, the first included.
	MaxAttempts int `yaml:"maxAttempts" json:"maxAttempts,omitempty"`
	// Ratio is the number of retries that each success allows, such as 0.1.
	Ratio float64 `yaml:"ratio" json:"ratio,omitempty"`
}
