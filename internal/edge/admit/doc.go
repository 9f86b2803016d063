// Package admit is the admission control of an entry: it combines the request queues, the slots of runners and the
// ejection of outliers. Requests take slots from an immutable table behind an atomic pointer. The control loop
// rebuilds the table, exchanges slots with the other entries and grants the slots of the runners whose home is this
// entry.
package admit
