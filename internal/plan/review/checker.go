package review

import (
	"bytes"
	"fmt"
	"strings"

	"cowslipstack/internal/model/batch"
)

// checker collects the findings of one check.
type checker struct {
	next, active *batch.Configuration
	known        Known
	findings     []Finding
}

func (c *checker) add(severity Severity, subject batch.Subject, name, format string, values ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Subject: subject, Name: name, Text: fmt.Sprintf(format, values...)})
}

// addOverall adds a finding on the configuration as a whole.
func (c *checker) addOverall(severity Severity, format string, values ...any) {
	c.add(severity, batch.SubjectConfiguration, "", format, values...)
}

// checkVersion reports a version that the leader would acknowledge and ignore: it activates only a higher one.
func (c *checker) checkVersion() {
	if c.active == nil || c.next.Version == 0 || c.next.Version > c.active.Version {
		return
	}
	if c.next.Version == c.active.Version && bytes.Equal(c.next.Text, c.active.Text) {
		c.addOverall(SeverityNote, "this configuration is active already, as version %d", c.active.Version)
		return
	}
	c.addOverall(SeverityWarning, "version %d is not above the active version %d: the configuration would be acknowledged and not activated",
		c.next.Version, c.active.Version)
}

// checkQueues reports queues that get no jobs or whose jobs find no VM, and time limits that contradict each other.
func (c *checker) checkQueues() {
	standby := make(map[string]bool, len(c.next.Pools))
	for _, p := range c.next.Pools {
		standby[p.Name] = p.Standby
	}
	for i := range c.next.Queues {
		q := &c.next.Queues[i]
		warn := func(format string, values ...any) {
			c.add(SeverityWarning, batch.SubjectQueue, q.Name(), format, values...)
		}
		if strings.Contains(q.Host, ":") {
			warn("no request matches the host: requests are matched without a port")
		}
		onStandby, exists := standby[q.Pool]
		if onStandby {
			warn("its pool %q is on standby: no VM of it runs", q.Pool)
		} else if exists && c.known.VMs != nil && c.known.VMs[q.Pool] == 0 {
			warn("its pool %q has no VMs at present", q.Pool)
		}
		if q.TargetLatencyMs > 0 && q.TimeoutMs > q.TargetLatencyMs {
			warn("its timeout of %d ms is above the target latency of %d ms: a call may wait beyond the fixed part of the SLO",
				q.TimeoutMs, q.TargetLatencyMs)
		}
	}
}

// checkPublic reports contradictions between the queues' need of a key and the accounts.
func (c *checker) checkPublic() {
	public, keys := 0, 0
	for i := range c.next.Queues {
		if !c.next.Queues[i].Public {
			continue
		}
		public++
		if !c.next.RequiresKeys {
			c.add(SeverityWarning, batch.SubjectQueue, c.next.Queues[i].Name(), "public has no effect: without accounts no queue needs a key")
		}
	}
	if !c.next.RequiresKeys {
		return
	}
	for i := range c.next.Accounts {
		keys += len(c.next.Accounts[i].Keys)
	}
	closed := len(c.next.Queues) - public
	if keys == 0 && closed > 0 {
		c.addOverall(SeverityWarning, "no account has a key: no caller may use the queues that aren't public, %d in number", closed)
	}
	switch {
	case public > 0 && closed == 0 && len(c.next.Accounts) > 0:
		c.addOverall(SeverityWarning, "all queues are public: no call needs an account's key, and jobs that are sent without one have no account, "+
			"and so no limit and no share of their own")
	case public > 0:
		c.addOverall(SeverityNote, "public queues: %d of %d; jobs that are sent to them without a key have no account, and so no limit and no "+
			"share of their own", public, len(c.next.Queues))
	}
}

// checkAccounts reports accounts that nobody can use, and limits and weights that contradict each other or the account's jobs.
func (c *checker) checkAccounts() {
	for i := range c.next.Accounts {
		a := &c.next.Accounts[i]
		add := func(s Severity, format string, values ...any) {
			c.add(s, batch.SubjectAccount, a.Name, format, values...)
		}
		if len(a.Keys) == 0 {
			add(SeverityWarning, "it has no key: nobody can call for it")
		} else if n := len(a.Keys) - len(keySet(a)); n > 0 {
			add(SeverityWarning, "it has keys that are given more than once; surplus: %d", n)
		}
		switch {
		case a.Weight == 0:
			add(SeverityWarning, "its weight is 0: where capacity is scarce, it gets only what the other accounts leave")
		case a.Limit == (batch.Resources{}):
			add(SeverityNote, "it has a weight and no limit: a limit of 0 means none")
		}
		need := c.known.Needs[a.Name]
		c.checkLimit(a, "thousandths of a core", a.Limit.CPUMilli, need.CPUMilli)
		c.checkLimit(a, "MB of memory", a.Limit.MemoryMB, need.MemoryMB)
		c.checkLimit(a, "accelerators", a.Limit.Accelerators, need.Accelerators)
	}
}

// checkLimit reports a limit that keeps a task of the account's jobs from ever starting; a limit of 0 is none.
func (c *checker) checkLimit(a *batch.Account, unit string, limit, need int64) {
	if limit > 0 && limit < need {
		c.add(SeverityWarning, batch.SubjectAccount, a.Name,
			"its limit of %d %s is below the %d that one task or gang of its present jobs needs: that never starts", limit, unit, need)
	}
}

// noteUnknown tells which rules could not be checked.
func (c *checker) noteUnknown() {
	if c.known.VMs == nil {
		c.addOverall(SeverityNote, "not checked: whether the pools have VMs, since no VM is listed")
	}
	if c.known.Needs == nil && len(c.next.Accounts) > 0 {
		c.addOverall(SeverityNote, "not checked: the accounts' limits against their jobs, since the leader doesn't tell what the jobs need")
	}
}

// keySet returns the digests of an account's keys.
func keySet(a *batch.Account) map[batch.KeyDigest]bool {
	set := make(map[batch.KeyDigest]bool, len(a.Keys))
	for _, key := range a.Keys {
		set[key] = true
	}
	return set
}
