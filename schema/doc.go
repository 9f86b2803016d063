// Package schema embeds the schemas of the settings file and of the
// environment document, so that programs check input against the same text
// from which their types are generated.
package schema

import _ "embed" // The schemas are embedded as strings.

// Daemon is the JSON Schema of the settings file of cowslipd.
//
//go:embed conf/daemon.json
var Daemon string

// Environment is the JSON Schema of the environment document.
//
//go:embed conf/environment.json
var Environment string
