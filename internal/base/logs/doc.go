// Package logs builds the structured log: one event a line, with stable
// snake-case field names.
package logs
