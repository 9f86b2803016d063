package docs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"

	"cowslipstack/internal/base/conf"
	"cowslipstack/schema"
)

// MaxBytes is the largest document that is taken.
const MaxBytes = 4 << 20

// Parse checks a TOML document and returns it; errors are of type conf.InputError.
func Parse(file string, text []byte) (Environment, error) {
	source := conf.Source{File: file, Text: text}
	if len(text) > MaxBytes {
		return Environment{}, conf.NewInputError(source, nil, fmt.Sprintf("%d bytes were given; at most %d are allowed", len(text), MaxBytes))
	}
	shape := conf.Shape{Schema: schema.Environment, Tables: []string{"maintenance", "weights"}}
	var e Environment
	if err := conf.Decode(source, shape, &e); err != nil {
		return Environment{}, err
	}
	return e, check(source, e)
}

// Digest returns the digest that names a document's text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// check checks what the schema can't: names that must differ or must be there.
func check(source conf.Source, e Environment) error {
	pools := names{source: source, table: "pools", seen: map[Name]bool{}}
	for i, p := range e.Pools {
		if err := pools.add(i, p.Name); err != nil {
			return err
		}
	}
	services := names{source: source, table: "services", seen: map[Name]bool{}}
	for i, s := range e.Services {
		if err := services.add(i, s.Name); err != nil {
			return err
		}
		if !pools.seen[s.Pool] {
			path := []string{"services", strconv.Itoa(i), "pool"}
			return conf.NewInputError(source, path, fmt.Sprintf("no pool is named %q; allowed are the names of the pools", s.Pool))
		}
	}
	teams := names{source: source, table: "teams", seen: map[Name]bool{}}
	for i, t := range e.Teams {
		if err := teams.add(i, t.Name); err != nil {
			return err
		}
	}
	return nil
}

// names finds names that are given twice in one table.
type names struct {
	source conf.Source
	table  string
	seen   map[Name]bool
}

func (n names) add(index int, name Name) error {
	if n.seen[name] {
		path := []string{n.table, strconv.Itoa(index), "name"}
		return conf.NewInputError(n.source, path, fmt.Sprintf("%q is given twice; names must differ", name))
	}
	n.seen[name] = true
	return nil
}
