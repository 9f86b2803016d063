// Package opcli is the operators' command line: its arguments, its calls and
// its output, for people and as JSON.
package opcli
