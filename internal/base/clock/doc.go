// Package clock gives the time as an interface, so that decisions and tests
// can be run on a clock of their own. No other package reads the wall clock.
package clock
