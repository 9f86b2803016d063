// Package chaos holds randomised runs of real processes: daemons are killed,
// frozen and restarted while callers send and resend requests. The schedules
// are the files under testdata; each has a fixed seed.
package chaos
