// Package shares divides capacity between claimants by weight. It consists of pure functions on plain structs.
package shares
