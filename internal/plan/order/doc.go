// Package order decides in which order jobs get room and how much of a
// worker's room a step gets: pure functions over plain structs.
package order
