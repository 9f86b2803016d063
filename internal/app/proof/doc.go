// Package proof holds randomised tests that check the outcomes that callers
// receive. Several entries run in one process and reach fake endpoints over
// real HTTP; their claims go to the real state machine through injected faults.
package proof
