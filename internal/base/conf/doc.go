// Package conf holds the generated settings and their loader. Input is TOML,
// checked against a JSON Schema; an error names the file, the line, the key,
// what was given and what is allowed.
package conf
