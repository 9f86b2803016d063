// Package certs provides the mutual TLS settings of the connections between the
// system's processes. It reloads certificate files that change, so that
// certificates are renewed without a restart.
package certs
