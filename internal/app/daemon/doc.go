// Package daemon implements the command line of cowslipd and wires its
// components with fx according to the roles in the settings.
package daemon
