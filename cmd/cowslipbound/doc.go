// Cowslipbound compares what the system did on a day with a reference bound that
// it computes from the day's log. It serves tests and measurements, not
// operators.
package main
