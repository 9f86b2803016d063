package conf

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"cowslipstack/schema"
)

// Source is a TOML input.
type Source struct {
	// File is the name of the input in errors; a path for files.
	File string
	// Text is the content of the input.
	Text []byte
}

// InputSpec describes the valid content of an input.
type InputSpec struct {
	// Schema is the text of a JSON Schema.
	Schema string
	// Tables are the names of the optional top-level tables; a missing one counts as empty, so that its defaults apply.
	Tables []string
}

// LoadDaemon reads and checks the settings file of a daemon. Faults in the file are of type *InputError.
func LoadDaemon(path string) (Daemon, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, errors.Wrap(err, "read settings")
	}
	spec := InputSpec{Schema: schema.Daemon, Tables: []string{"control", "entry", "platform", "overload", "log", "tls"}}
	var d Daemon
	if err := Decode(Source{File: path, Text: text}, spec, &d); err != nil {
		return Daemon{}, err
	}
	return d, checkDaemon(path, d)
}

// LoadSite reads and checks the settings file of a process that finds its peers through seeds. Faults in the file are
// of type *InputError.
func LoadSite(path string) (Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Site{}, errors.Wrap(err, "read settings")
	}
	spec := InputSpec{Schema: schema.Site, Tables: []string{"listen", "control", "provider", "bounds", "limits", "overload", "log"}}
	var s Site
	if err := Decode(Source{File: path, Text: text}, spec, &s); err != nil {
		return Site{}, err
	}
	return s, checkSite(path, s)
}

// checkSite checks what the schema can't express: rules across keys.
func checkSite(file string, s Site) error {
	if len(s.Seeds) == 0 {
		return &InputError{File: file, Key: "seeds", Problem: "no seed is given; at least one is needed to find the others"}
	}
	if s.Control.ElectionMs < 2*s.Control.HeartbeatMs {
		return &InputError{File: file, Key: "control.election_ms", Problem: "less than two heartbeats"}
	}
	return nil
}

// Decode checks the source against the spec and decodes it into out, a pointer to the generated type. Faults in the
// source are of type *InputError.
func Decode(source Source, spec InputSpec, out any) error {
	tree := map[string]any{}
	if err := toml.Unmarshal(source.Text, &tree); err != nil {
		return syntaxError(source, err)
	}
	for _, table := range spec.Tables {
		if _, ok := tree[table]; !ok {
			tree[table] = map[string]any{}
		}
	}
	jsonText, err := json.Marshal(tree)
	if err != nil {
		return errors.Wrapf(err, "%s", source.File)
	}
	if err := validate(source, spec.Schema, jsonText); err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(jsonText, out), "%s", source.File)
}

func validate(source Source, schemaText string, jsonText []byte) error {
	compiled, err := compile(schemaText)
	if err != nil {
		return err
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(jsonText))
	if err != nil {
		return errors.Wrapf(err, "%s", source.File)
	}
	var invalid *jsonschema.ValidationError
	if err := compiled.Validate(instance); errors.As(err, &invalid) {
		return schemaError(source, invalid)
	} else if err != nil {
		return errors.Wrapf(err, "%s", source.File)
	}
	return nil
}

// compiledSchemas caches compiled schemas by their text. It is never emptied, since a program has few schemas.
var compiledSchemas sync.Map

func compile(schemaText string) (*jsonschema.Schema, error) {
	if cached, ok := compiledSchemas.Load(schemaText); ok {
		return cached.(*jsonschema.Schema), nil
	}
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader([]byte(schemaText)))
	if err != nil {
		return nil, errors.Wrap(err, "parse schema")
	}
	compiler := jsonschema.NewCompiler()
	const location = "schema.json"
	if err := compiler.AddResource(location, parsed); err != nil {
		return nil, errors.Wrap(err, "add schema")
	}
	compiled, err := compiler.Compile(location)
	if err != nil {
		return nil, errors.Wrap(err, "compile schema")
	}
	compiledSchemas.Store(schemaText, compiled)
	return compiled, nil
}
