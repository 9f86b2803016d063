// Package relay sends one attempt of a request to one endpoint and reports
// whether the attempt was answered, was not run, or has an unknown outcome.
package relay
