package cwsetting

import (
	"reflect"
	"strings"
)

// Field describes one setting.
type Field struct {
	// Name is the name of the flag; Env is the name of the environment variable.
	Name, Env string
	// Default is the value if neither is set; an empty Default means that the setting
	// is required.
	Default string
	// Help describes the setting in the help text and on the settings page.
	Help string

	// check names the check of the value. index is the index of the field in Settings.
	check string
	index int
}

// Fields returns the description of every setting, in the order of the struct.
func Fields() []Field {
	t := reflect.TypeFor[Settings]()
	fields := make([]Field, 0, t.NumField())
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name := tag.Get("name")
		fields = append(fields, Field{
			Name:    name,
			Env:     EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")),
			Default: tag.Get("default"),
			Help:    tag.Get("help"),
			check:   tag.Get("check"),
			index:   i,
		})
	}
	return fields
}
