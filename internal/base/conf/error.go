package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// InputError is a fault in an input file; it prints as one line.
type InputError struct {
	// File is the name of the input; a path for files.
	File string
	// Line is the line of the fault, from 1; 0 if it is not known.
	Line int
	// Key is the dotted key of the fault; empty for the whole input.
	Key string
	// Problem says what was given and what is allowed, in words.
	Problem string

	rank int
}

// Error returns the fault in the form: file:line: key "key": problem.
func (e *InputError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, ": key %q", e.Key)
	}
	b.WriteString(": ")
	b.WriteString(e.Problem)
	return b.String()
}

// NewInputError returns a fault at the key with the given path; its line is looked up in the source.
func NewInputError(source Source, path []string, problem string) *InputError {
	return &InputError{
		File:    source.File,
		Line:    findLine(source.Text, path),
		Key:     strings.Join(path, "."),
		Problem: problem,
	}
}

func syntaxError(source Source, err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return &InputError{File: source.File, Problem: err.Error()}
	}
	line, _ := decode.Position()
	return &InputError{
		File:    source.File,
		Line:    line,
		Key:     strings.Join(decode.Key(), "."),
		Problem: strings.TrimPrefix(decode.Error(), "toml: "),
	}
}

// schemaError returns the fault that explains the most. A misspelt key comes
// before a wrong value, and that before a missing key, which a misspelt key causes.
func schemaError(source Source, err *jsonschema.ValidationError) error {
	faults := leafFaults(err)
	first := slices.MinFunc(faults, func(a, b *InputError) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.Key, b.Key))
	})
	first.File = source.File
	first.Line = findLine(source.Text, strings.Split(first.Key, "."))
	return first
}

// Ranks of faults; the fault with the lowest rank is reported.
const (
	rankUnknown = iota
	rankValue
	rankMissing
)

func leafFaults(err *jsonschema.ValidationError) []*InputError {
	if len(err.Causes) == 0 {
		return []*InputError{leafFault(err)}
	}
	var faults []*InputError
	for _, cause := range err.Causes {
		faults = append(faults, leafFaults(cause)...)
	}
	return faults
}

func leafFault(err *jsonschema.ValidationError) *InputError {
	path := slices.Clone(err.InstanceLocation)
	switch k := err.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		path = append(path, slices.Min(k.Properties))
		return &InputError{Key: strings.Join(path, "."), Problem: "unknown key", rank: rankUnknown}
	case *kind.Required:
		path = append(path, slices.Min(k.Missing))
		return &InputError{Key: strings.Join(path, "."), Problem: "missing key", rank: rankMissing}
	default:
		problem := err.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		return &InputError{Key: strings.Join(path, "."), Problem: problem, rank: rankValue}
	}
}

// findLine returns the line of the key at path or of its nearest enclosing table; 0 if there is none.
func findLine(text []byte, path []string) int {
	lines := keyLines(text)
	for n := len(path); n > 0; n-- {
		if line, ok := lines[strings.Join(path[:n], ".")]; ok {
			return line
		}
	}
	return 0
}
