// Package crash attributes the crash of a worker to the tasks that it had just been ordered to start: pure functions over
// plain structs.
package crash
