// Cowslipd is the daemon that runs on the entry VMs. Its settings file gives it
// the role entry, control or both.
package main
