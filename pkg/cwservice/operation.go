package cwservice

import "strings"

// Operation is a method and path whose repeatability differs from that of its service.
type Operation struct {
	// Method is the HTTP method.
	Method string `yaml:"method" json:"method"`
	// Path is the path below the service; a trailing /* matches everything below it.
	Path string `yaml:"path" json:"path"`
	// Idempotent says whether the request may be repeated.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Lookup is the path of a read that finds a request by its key; {key} stands
	// for the ticket. It may be empty.
	Lookup string `yaml:"lookup" json:"lookup,omitempty"`
}

// Matches reports whether the operation covers the method and path.
func (o *Operation) Matches(method, path string) bool {
	if o.Method != method {
		return false
	}
	if base, ok := strings.CutSuffix(o.Path, "/*"); ok {
		return path == base || strings.HasPrefix(path, base+"/")
	}
	return path == o.Path
}
