// Package pools decides how many VMs each pool should have, based on the work
// that waits. It consists of pure functions on plain structs.
package pools
