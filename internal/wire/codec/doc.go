// Package codec turns messages of the wire and records of the log into the
// plain types of the model and back; no other package does.
package codec
