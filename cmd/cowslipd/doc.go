// Cowslipd is the daemon of the entry VMs. It plays the role entry, control
// or both, as its settings file says.
package main
