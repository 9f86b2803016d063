// Package refuse decides whether a new job is refused because it can't be finished by its SLO, and when its caller should
// come back. It consists of pure functions on plain structs.
package refuse
