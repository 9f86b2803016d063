// Package budget reads the services' ledgers: what a service may still cost,
// what is promised to work under way, and what is left once the largest
// failure domain is lost.
package budget

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Level -linecomment -output=enums_gen.go
