// Package order decides in which order jobs get resources: pure functions over plain structs.
package order
