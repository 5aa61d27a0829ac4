package cwsetting

import (
	"fmt"
	"strings"
)

// RenderPage returns the settings page in Markdown.
func RenderPage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nThis page is generated from `internal/cwsetting/settings.go` by `make docs`; CI fails if it is out of date.\n")
	b.WriteString("A flag goes before its environment variable. All faults are reported in one message at start.\n\n")
	b.WriteString("| flag | variable | default | meaning |\n|---|---|---|---|\n")
	for _, f := range Fields() {
		defaultText := "none; must be set"
		if f.Default != "" {
			defaultText = "`" + f.Default + "`"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", f.Name, f.Env, defaultText, f.Help)
	}
	return b.String()
}
