// Package fakes holds small stand-ins for what stands outside the system: an
// endpoint and the platform's interface. It is for the demo and for tests.
package fakes
