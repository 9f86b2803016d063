// Package pools decides how many VMs each pool should have, by the work of its
// jobs, and which VMs move between pools. It consists of pure functions on plain
// structs.
package pools
