// Package grant holds the data that an entry and the leader exchange when the
// entry renews its lease, as plain structs.
package grant
