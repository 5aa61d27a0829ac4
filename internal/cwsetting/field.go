package cwsetting

import (
	"reflect"
	"strings"
)

// Field describes one setting.
type Field struct {
	// Name is the flag's name; Env is the variable's.
	Name, Env string
	// Default is the value where neither is set.
	Default string
	// Help is one sentence.
	Help string

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
