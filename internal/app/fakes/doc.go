// Package fakes implements fakes of the systems that cowslipstack works with: an
// endpoint and the platform's HTTP interface. The demo and the tests use them.
package fakes
