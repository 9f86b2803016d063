// Package admit admits requests to runners: it ties the queues, the slots and
// the ejection of runners together. Traffic takes slots from an immutable
// table behind an atomic pointer; the process's control loop makes the table,
// exchanges slots with the other entries and grants those of its own runners.
package admit
