// Package front is the HTTP front end for callers. It forwards each request to an endpoint and returns one
// response, with the outcome in a response header.
package front
