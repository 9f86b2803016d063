// Package pools decides how many VMs each pool should have, from the work
// that waits: pure functions over plain structs.
package pools
