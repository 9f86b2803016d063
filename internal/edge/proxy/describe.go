package proxy

import "cowslipstack/internal/model/batch"

// kind returns the name of a call for metrics and the log.
func kind(c *batch.Call) string {
	switch {
	case c.Submit != nil:
		return "submit"
	case c.Cancel != nil:
		return "cancel"
	case c.JobState != nil:
		return "state"
	case c.Pending != nil:
		return "pending"
	case c.Heartbeat != nil:
		return "heartbeat"
	case c.Deregister != nil:
		return "leave"
	case c.Configure != nil:
		return "configure"
	case c.ReadConfiguration:
		return "read_configuration"
	case c.StartWave != nil:
		return "start_wave"
	case c.Inspect != nil:
		return "inspect"
	case c.ReadAccess != nil:
		return "read_access"
	default:
		return "wave_state"
	}
}

// subject returns the path, worker or job that a call is about, for the log.
func subject(c *batch.Call) string {
	switch {
	case c.Submit != nil:
		return c.Submit.Path
	case c.Heartbeat != nil:
		return c.Heartbeat.Worker
	case c.Deregister != nil:
		return c.Deregister.Worker
	case c.Inspect != nil:
		return c.Inspect.Job
	}
	for _, l := range []*batch.RequestTarget{c.Cancel, c.JobState, c.Pending} {
		if l != nil {
			return l.Path
		}
	}
	return ""
}
