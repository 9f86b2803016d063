// Cowslipfake is a small stand-in for an endpoint and for the platform, for
// the demo and for tests.
package main
