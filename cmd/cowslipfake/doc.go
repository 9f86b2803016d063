// Cowslipfake runs a fake endpoint or a fake platform, for the demo and for
// tests.
package main
