// Package clock provides the time through an interface, so that decisions and
// tests can run on their own clock. No other package reads the wall clock.
package clock
