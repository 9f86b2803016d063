// Package serve holds the connect handlers of the system's own services; each
// turns messages into calls on a small interface.
package serve
