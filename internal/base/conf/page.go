package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// node holds the parts of a JSON Schema that a reference page shows.
type node struct {
	Ref         string          `json:"$ref"`
	Title       string          `json:"title"`
	Description string          `json:"description"`
	Type        string          `json:"type"`
	Pattern     string          `json:"pattern"`
	Enum        []string        `json:"enum"`
	Minimum     *json.Number    `json:"minimum"`
	Maximum     *json.Number    `json:"maximum"`
	MinLength   *int            `json:"minLength"`
	MinItems    *int            `json:"minItems"`
	MaxItems    *int            `json:"maxItems"`
	Default     json.RawMessage `json:"default"`
	Required    []string        `json:"required"`
	Items       *node           `json:"items"`
	AllOf       []node          `json:"allOf"`
	Properties  map[string]node `json:"properties"`
	Defs        map[string]node `json:"$defs"`
}

// page builds the Markdown page of one schema.
type page struct {
	root node
	text strings.Builder
}

// Reference returns a Markdown page that lists the keys of a JSON Schema with type, allowed values, default and meaning.
func Reference(schemaText string) (string, error) {
	p := &page{}
	if err := json.Unmarshal([]byte(schemaText), &p.root); err != nil {
		return "", errors.Wrap(err, "parse schema")
	}
	fmt.Fprintf(&p.text, "# %s\n\n%s Unknown keys are refused.\n", p.root.Title, describe(p.root.Description))
	p.table("", p.root)
	return p.text.String(), nil
}

// table writes the keys of one object and then its tables. The prefix is the object's dotted key; empty for the root.
func (p *page) table(prefix string, object node) {
	p.text.WriteString("\n| key | type | allowed | default | meaning |\n|---|---|---|---|---|\n")
	keys := slices.Sorted(maps.Keys(object.Properties))
	for _, key := range keys {
		n := p.resolve(object.Properties[key])
		if n.Type != "object" && !p.isTableArray(n) {
			p.row(key, n, slices.Contains(object.Required, key))
		}
	}
	for _, key := range keys {
		n := p.resolve(object.Properties[key])
		name := strings.TrimPrefix(prefix+"."+key, ".")
		if n.Type == "object" {
			fmt.Fprintf(&p.text, "\n## [%s]\n\n%s\n", name, describe(n.Description))
			p.table(name, n)
		}
		if p.isTableArray(n) {
			fmt.Fprintf(&p.text, "\n## [[%s]]\n\n%s\n", name, describe(n.Description))
			p.table(name, p.resolve(*n.Items))
		}
	}
}

func (p *page) row(key string, n node, required bool) {
	defaultValue := "none"
	if len(n.Default) > 0 {
		defaultValue = "`" + string(n.Default) + "`"
	}
	if required {
		defaultValue = "required"
	}
	fmt.Fprintf(&p.text, "| `%s` | %s | %s | %s | %s |\n", key, n.Type, p.allowed(n), defaultValue, describe(n.Description))
}

// describe turns a schema description, which starts with the Go name, into a sentence without that name.
func describe(comment string) string {
	_, rest, _ := strings.Cut(comment, " ")
	rest = strings.TrimPrefix(strings.TrimPrefix(rest, "is "), "are ")
	if rest == "" {
		return comment
	}
	return strings.ToUpper(rest[:1]) + rest[1:]
}

// allowed returns the allowed values of a key, in words.
func (p *page) allowed(n node) string {
	switch {
	case len(n.Enum) > 0:
		return "`" + strings.Join(n.Enum, "`, `") + "`"
	case n.Minimum != nil && n.Maximum != nil:
		return fmt.Sprintf("%s to %s", n.Minimum, n.Maximum)
	case n.Pattern != "":
		return "`" + n.Pattern + "`"
	case len(n.AllOf) > 0:
		return p.allowed(n.AllOf[0])
	case n.Items != nil:
		return "list of " + p.allowed(p.resolve(*n.Items))
	default:
		return "any"
	}
}

// resolve follows a reference. A description beside the reference replaces that of its target.
func (p *page) resolve(n node) node {
	if n.Ref == "" {
		return n
	}
	target := p.root.Defs[strings.TrimPrefix(n.Ref, "#/$defs/")]
	if n.Description != "" {
		target.Description = n.Description
	}
	return target
}

func (p *page) isTableArray(n node) bool {
	return n.Type == "array" && n.Items != nil && p.resolve(*n.Items).Type == "object"
}
