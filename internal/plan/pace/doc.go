// Package pace decides at which share tasks that fill may work beside tasks
// that serve: pure functions over plain structs.
package pace
