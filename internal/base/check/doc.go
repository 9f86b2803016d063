// Package check asserts invariants in the shipped program. A breach is counted
// in a metric and logged with its context; in a test it fails the test.
package check
