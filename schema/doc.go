// Package schema embeds the schemas of the settings file and of the
// environment document, so that programs check input against the same text
// from which their types are generated.
package schema

import _ "embed" // The schemas are embedded as strings.

// Daemon is the JSON Schema of the settings file of cowslipd.
//
//go:embed conf/daemon.json
var Daemon string

// Site is the JSON Schema of the settings file of a cowslipd that finds the others through seeds.
//
//go:embed conf/site.json
var Site string

// Environment is the JSON Schema of the environment document.
//
//go:embed conf/environment.json
var Environment string

// The pages come last, since the programs that write them are built from the other generated code.
//
//go:generate sh -c "cd .. && go run ./cmd/cowslipd --reference > docs/SETTINGS.md"
//go:generate sh -c "cd .. && go run ./cmd/cowslipd --site-reference > docs/SITE.md"
//go:generate sh -c "cd .. && go run ./cmd/cowslip reference > docs/DOCUMENT.md"
