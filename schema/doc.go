// Package schema embeds the JSON Schemas of the settings files and of the
// environment document. Programs validate input against the same schemas from
// which their Go types are generated.
package schema

import _ "embed" // The schemas are embedded as strings.

// Daemon is the JSON Schema of the settings file of cowslipd.
//
//go:embed conf/daemon.json
var Daemon string

// Site is the JSON Schema of the settings file of a cowslipd that discovers the other processes through seeds.
//
//go:embed conf/site.json
var Site string

// Environment is the JSON Schema of the environment document.
//
//go:embed conf/environment.json
var Environment string

// These run after the directives at the root: the programs that write the pages are built from the generated code.
//
//go:generate sh -c "cd .. && go run ./cmd/cowslipd --reference > docs/SETTINGS.md"
//go:generate sh -c "cd .. && go run ./cmd/cowslipd --site-reference > docs/SITE.md"
//go:generate sh -c "cd .. && go run ./cmd/cowslip reference > docs/DOCUMENT.md"
