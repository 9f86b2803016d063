// Package guard protects listeners from clients that nobody controls. It bounds
// connections in total and per client address, the time and the rate of bodies
// and answers, and the bytes of bodies in memory. At a limit it closes the
// connection that has been quiet for longest, or drops the body that has stalled
// for longest, so that ordinary clients are still served.
package guard
