// Package eject decides which runners of a service are taken out because they
// fail or are slow while the others do not, and when they are tried again. It
// is pure: the time and random numbers come in as arguments.
package eject
