// Package daemon wires the parts of cowslipd together with fx.
package daemon
