// Package fleet holds the core types: VMs, pools, services, endpoints, teams
// and jobs, as plain structs without behaviour of their own.
package fleet
