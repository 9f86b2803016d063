// Package proof holds randomised tests of what callers are told: entries of
// one process with real HTTP to fake endpoints, over the real state machine of
// claims behind injected failures.
package proof
