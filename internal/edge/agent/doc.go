// Package agent is the control part of an entry: it renews the entry's lease,
// holds the document in force and the announced endpoints, and publishes the
// view by which requests are routed. The process's control loop owns its state.
package agent
