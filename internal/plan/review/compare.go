package review

import (
	"fmt"
	"strings"

	"cowslipstack/internal/model/batch"
)

// compare notes the differences from the active configuration.
func (c *checker) compare() {
	if c.active == nil {
		c.addOverall(SeverityNote, "no configuration is active: there is nothing to compare with")
		return
	}
	if c.next.RequiresKeys != c.active.RequiresKeys {
		c.addOverall(SeverityNote, "calls need a key: %t, was %t", c.next.RequiresKeys, c.active.RequiresKeys)
	}
	compareEntries(c, batch.SubjectQueue, queueEntries(c.next), queueEntries(c.active), queueChanges)
	compareEntries(c, batch.SubjectPool, poolEntries(c.next), poolEntries(c.active), poolChanges)
	compareEntries(c, batch.SubjectAccount, accountEntries(c.next), accountEntries(c.active), accountChanges)
}

// entry is a queue, pool or account and what identifies it.
type entry[T any] struct {
	id    any
	name  string
	value *T
}

func queueEntries(c *batch.Configuration) []entry[batch.Queue] {
	entries := make([]entry[batch.Queue], len(c.Queues))
	for i := range c.Queues {
		entries[i] = entry[batch.Queue]{id: c.Queues[i].Key(), name: c.Queues[i].Name(), value: &c.Queues[i]}
	}
	return entries
}

func poolEntries(c *batch.Configuration) []entry[batch.Pool] {
	entries := make([]entry[batch.Pool], len(c.Pools))
	for i := range c.Pools {
		entries[i] = entry[batch.Pool]{id: c.Pools[i].Name, name: c.Pools[i].Name, value: &c.Pools[i]}
	}
	return entries
}

func accountEntries(c *batch.Configuration) []entry[batch.Account] {
	entries := make([]entry[batch.Account], len(c.Accounts))
	for i := range c.Accounts {
		entries[i] = entry[batch.Account]{id: c.Accounts[i].Name, name: c.Accounts[i].Name, value: &c.Accounts[i]}
	}
	return entries
}

// compareEntries notes the entries that were added, changed and removed; changes describes how an entry differs from another.
func compareEntries[T any](c *checker, subject batch.Subject, next, active []entry[T], changes func(next, active *T) []string) {
	before := make(map[any]*T, len(active))
	for _, e := range active {
		before[e.id] = e.value
	}
	seen := make(map[any]bool, len(next))
	for _, e := range next {
		if seen[e.id] {
			continue
		}
		seen[e.id] = true
		if old := before[e.id]; old == nil {
			c.add(SeverityNote, subject, e.name, "added")
		} else if all := changes(e.value, old); len(all) > 0 {
			c.add(SeverityNote, subject, e.name, "changed: %s", strings.Join(all, ", "))
		}
	}
	for _, e := range active {
		if !seen[e.id] {
			c.add(SeverityNote, subject, e.name, "removed")
		}
	}
}

// changeList collects descriptions of changed fields.
type changeList []string

func (l *changeList) add(field string, next, active any) {
	if next != active {
		*l = append(*l, fmt.Sprintf("%s %v, was %v", field, next, active))
	}
}

func queueChanges(next, active *batch.Queue) []string {
	var l changeList
	l.add("pool", next.Pool, active.Pool)
	l.add("priority", next.Priority, active.Priority)
	l.add("attempts", next.MaxAttempts, active.MaxAttempts)
	l.add("slack factor", next.SlackFactor, active.SlackFactor)
	l.add("target latency in ms", next.TargetLatencyMs, active.TargetLatencyMs)
	l.add("timeout in ms", next.TimeoutMs, active.TimeoutMs)
	l.add("requires permits", next.RequiresPermit, active.RequiresPermit)
	l.add("public", next.Public, active.Public)
	return l
}

func poolChanges(next, active *batch.Pool) []string {
	var l changeList
	l.add("admission check", next.AdmissionCheck, active.AdmissionCheck)
	l.add("standby", next.Standby, active.Standby)
	return l
}

// accountChanges describes changed keys by their count only.
func accountChanges(next, active *batch.Account) []string {
	var l changeList
	l.add("weight", next.Weight, active.Weight)
	l.add("limit of cpu", next.Limit.CPUMilli, active.Limit.CPUMilli)
	l.add("limit of memory in MB", next.Limit.MemoryMB, active.Limit.MemoryMB)
	l.add("limit of accelerators", next.Limit.Accelerators, active.Limit.Accelerators)
	keys, former := keySet(next), keySet(active)
	if n := missing(keys, former); n > 0 {
		l = append(l, fmt.Sprintf("keys added: %d", n))
	}
	if n := missing(former, keys); n > 0 {
		l = append(l, fmt.Sprintf("keys removed: %d", n))
	}
	return l
}

// missing counts the keys of a set that another doesn't have.
func missing(keys, other map[batch.KeyDigest]bool) int {
	n := 0
	for key := range keys {
		if !other[key] {
			n++
		}
	}
	return n
}
