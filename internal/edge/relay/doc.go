// Package relay sends one attempt of a request to one endpoint and tells
// truthfully what came of it.
package relay
