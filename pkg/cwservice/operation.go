package cwservice

import "strings"

// Operation is a method and path with its own setting of whether requests may be
// repeated.
type Operation struct {
	// Method is the HTTP method.
	Method string `yaml:"method" json:"method"`
	// Path is the path below the service; a trailing /* also matches all paths below it.
	Path string `yaml:"path" json:"path"`
	// Idempotent states whether the request may be repeated.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Lookup is the path of a read operation that finds a request by its key; {key} is
	// replaced by the ticket. It may be empty.
	Lookup string `yaml:"lookup" json:"lookup,omitempty"`
}

// Matches reports whether the operation applies to the method and path.
func (o *Operation) Matches(method, path string) bool {
	if o.Method != method {
		return false
	}
	if base, ok := strings.CutSuffix(o.Path, "/*"); ok {
		return path == base || strings.HasPrefix(path, base+"/")
	}
	return path == o.Path
}
