// Package conf holds the generated settings and loads them. Input is TOML and
// is checked against a JSON Schema. An error names the file, the line, the key,
// what was given and what is allowed.
package conf
