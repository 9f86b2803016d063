package docs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"

	"cowslipstack/internal/base/conf"
	"cowslipstack/schema"
)

// MaxBytes is the size of the largest document that is accepted.
const MaxBytes = 4 << 20

// Parse decodes and checks a TOML document; file is its name in errors. Faults in the document are of type
// *conf.InputError.
func Parse(file string, text []byte) (Environment, error) {
	source := conf.Source{File: file, Text: text}
	if len(text) > MaxBytes {
		return Environment{}, conf.NewInputError(source, nil, fmt.Sprintf("%d bytes were given; at most %d are allowed", len(text), MaxBytes))
	}
	spec := conf.InputSpec{Schema: schema.Environment, Tables: []string{"maintenance", "weights"}}
	var e Environment
	if err := conf.Decode(source, spec, &e); err != nil {
		return Environment{}, err
	}
	return e, checkNames(source, e)
}

// Digest returns the SHA-256 sum of a document's text in hexadecimal, by which the document is identified.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// checkNames checks what the schema can't express: names are unique in their table, and each service's pool exists.
func checkNames(source conf.Source, e Environment) error {
	pools := nameSet{source: source, table: "pools", seen: map[Name]bool{}}
	for i, p := range e.Pools {
		if err := pools.add(i, p.Name); err != nil {
			return err
		}
	}
	services := nameSet{source: source, table: "services", seen: map[Name]bool{}}
	for i, s := range e.Services {
		if err := services.add(i, s.Name); err != nil {
			return err
		}
		if !pools.seen[s.Pool] {
			path := []string{"services", strconv.Itoa(i), "pool"}
			return conf.NewInputError(source, path, fmt.Sprintf("no pool is named %q; allowed are the names of the pools", s.Pool))
		}
	}
	teams := nameSet{source: source, table: "teams", seen: map[Name]bool{}}
	for i, t := range e.Teams {
		if err := teams.add(i, t.Name); err != nil {
			return err
		}
	}
	return nil
}

// nameSet collects the names of one table and finds those that are given twice.
type nameSet struct {
	source conf.Source
	table  string
	seen   map[Name]bool
}

func (n nameSet) add(index int, name Name) error {
	if n.seen[name] {
		path := []string{n.table, strconv.Itoa(index), "name"}
		return conf.NewInputError(n.source, path, fmt.Sprintf("%q is given twice; names must differ", name))
	}
	n.seen[name] = true
	return nil
}
