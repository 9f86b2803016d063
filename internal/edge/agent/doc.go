// Package agent is the control part of an entry: it renews the lease, keeps
// the document and the announced endpoints, and publishes the view by which
// requests are routed. Its state is owned by the process's control loop.
package agent
