// Package blame attributes job failures to the job, to the worker or to the
// wave that maintained the workers. It never decides from a single failure.
package blame
