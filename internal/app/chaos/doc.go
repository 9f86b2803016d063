// Package chaos holds fault-injection and soak tests over real processes:
// daemons are killed, frozen, partitioned and restarted while callers send and
// resend requests. The schedules, each with a fixed seed, and the seeds of the
// soak test are the files under testdata.
package chaos
