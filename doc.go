// Package cowslipstack is the root of a fleet capacity and maintenance
// manager. It holds no code: the programs are under cmd, their packages under
// internal, and the interface to the site's platform is package platform. This
// file has the go:generate directives of the schemas and of the enums in claim
// and fakes; other packages with enums have theirs in doc.go.
package cowslipstack

//go:generate go tool -modfile=tools/go.mod buf generate schema/peer
//go:generate go tool -modfile=tools/go.mod go-jsonschema --tags json --capitalization ID,TTL,TLS -p conf --schema-root-type https://cowslipstack.invalid/conf/daemon.json=Daemon schema/conf/daemon.json -o internal/base/conf/daemon_gen.go
//go:generate go tool -modfile=tools/go.mod go-jsonschema --tags json --capitalization ID,TTL,TLS -p conf --schema-root-type https://cowslipstack.invalid/conf/site.json=Site schema/conf/site.json -o internal/base/conf/site_gen.go
//go:generate go tool -modfile=tools/go.mod go-jsonschema --tags json --capitalization ID,TTL,TLS -p docs --schema-root-type https://cowslipstack.invalid/conf/environment.json=Environment schema/conf/environment.json -o internal/model/docs/environment_gen.go
//go:generate go tool -modfile=tools/go.mod stringer -type=Step,State -linecomment -output=internal/edge/claim/enums_gen.go ./internal/edge/claim
//go:generate go tool -modfile=tools/go.mod stringer -type=Mode -linecomment -output=internal/app/fakes/enums_gen.go ./internal/app/fakes
