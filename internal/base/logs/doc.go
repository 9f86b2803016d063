// Package logs builds structured loggers: one event on each line, with stable
// snake-case field names.
package logs
