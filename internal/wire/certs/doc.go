// Package certs holds the TLS settings of the system's own connections. Files
// are read again when they change, so that certificates are renewed without
// a restart.
package certs
