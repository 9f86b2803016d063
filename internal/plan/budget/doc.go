// Package budget computes the availability budgets (error budgets) of services
// from their ledgers: the bad time that is still allowed, the part reserved for
// work in progress, and what is left after the costliest loss of one failure
// domain. It also computes the cost of such a loss and how pools share spare VMs.
package budget

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Level -linecomment -output=enums_gen.go
