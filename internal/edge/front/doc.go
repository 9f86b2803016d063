// Package front takes callers' HTTP requests and answers each once, with its
// outcome in a header.
package front
