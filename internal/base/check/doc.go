// Package check asserts invariants in the shipped program. A breach is
// logged with its context, counted in a metric, and ends the test that saw it.
package check
