// Package tests holds what the tests of several packages share; only tests may
// import it.
package tests
