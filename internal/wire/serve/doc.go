// Package serve holds the Connect handlers of the services between the system's
// processes. Each handler decodes messages, calls a small interface and encodes the
// result.
package serve
