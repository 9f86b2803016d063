// Cowslip is the command-line client for operators.
package main
