package cwservice

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// document is a parsed YAML file. It finds the line of a field and collects the faults.
type document struct {
	file   string
	root   yaml.Node
	faults Faults
}

// yamlErrorPattern matches the line number and the text of a message of the YAML package.
var yamlErrorPattern = regexp.MustCompile(`line (\d+): (.*)`)

// decode decodes data into out. Unknown fields, an empty file and more than one YAML
// document are faults. It reports whether out can be checked further.
func (d *document) decode(data []byte, out any) bool {
	if err := yaml.Unmarshal(data, &d.root); err != nil {
		d.addYAMLError(err)
		return false
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(out)
	if errors.Is(err, io.EOF) {
		d.addFault("", "the file is empty")
		return false
	}
	if err != nil {
		d.addYAMLError(err)
		return false
	}
	if err = dec.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		d.addFault("", "the file contains more than one YAML document")
	}
	return true
}

func (d *document) addYAMLError(err error) {
	var typeErr *yaml.TypeError
	messages := []string{err.Error()}
	if errors.As(err, &typeErr) {
		messages = typeErr.Errors
	}
	for _, m := range messages {
		d.addYAMLMessage(m)
	}
}

// addYAMLMessage adds a message of the YAML package, such as "line 6: field x not found in
// type T", as a fault.
func (d *document) addYAMLMessage(message string) {
	parts := yamlErrorPattern.FindStringSubmatch(message)
	if parts == nil {
		d.faults = append(d.faults, Fault{File: d.file, Line: 1, Reason: message})
		return
	}
	line, _ := strconv.Atoi(parts[1])
	field := ""
	if words := strings.Fields(parts[2]); len(words) > 1 && words[0] == "field" {
		field = words[1]
	}
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Field: field, Reason: parts[2]})
}

// addFault adds a fault of the field; an empty field stands for the whole file.
func (d *document) addFault(field, format string, args ...any) {
	d.faults = append(d.faults, Fault{File: d.file, Line: d.lineOf(field), Field: field, Reason: fmt.Sprintf(format, args...)})
}

// lineOf returns the line of the field, or of its nearest parent that is present. The
// field is a path such as targets.objective or places.0.
func (d *document) lineOf(field string) int {
	if len(d.root.Content) == 0 {
		return 1
	}
	node := d.root.Content[0]
	line := node.Line
	for part := range strings.SplitSeq(field, ".") {
		next := childNode(node, part)
		if next == nil {
			return line
		}
		node, line = next, next.Line
	}
	return line
}

func childNode(node *yaml.Node, name string) *yaml.Node {
	if node.Kind == yaml.SequenceNode {
		i, err := strconv.Atoi(name)
		if err != nil || i >= len(node.Content) {
			return nil
		}
		return node.Content[i]
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	return nil
}

func (d *document) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return d.faults
}
