// Package pace decides how much best-effort tasks, which take the processor time that
// other tasks leave, are slowed down beside tasks that serve. It consists of
// pure functions on plain structs.
package pace
