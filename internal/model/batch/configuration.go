package batch

import (
	"fmt"
	"strings"
)

// Configuration is the operator's description of queues and pools. The one with the highest version is in force.
type Configuration struct {
	// Version rises with each configuration; 0 stands for no configuration.
	Version uint64
	// Queues are the queues that accept jobs; no two have the same host and prefix.
	Queues []Queue
	// Pools are the pools of workers; their names are unique.
	Pools []Pool
	// RequiresKeys means that callers of queues that aren't public need a key of an account.
	RequiresKeys bool
	// Accounts are the client accounts; their names are unique, and no two have the same key.
	Accounts []Account
	// Text is the configuration as the operator sent it.
	Text []byte
}

// Queue accepts jobs and runs their tasks in one pool.
type Queue struct {
	// Host is the host name that callers use for the queue.
	Host string
	// Prefix is the start of the paths of its calls, from a slash. The longest prefix that matches a path wins.
	Prefix string
	// Pool is the name of the pool that runs the queue's tasks.
	Pool string
	// Priority orders queues; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failures of one task or gang after which its job fails; below 1 counts as 1.
	MaxAttempts int
	// SlackFactor times the estimated work of a job, plus TargetLatencyMs, is the job's SLO.
	SlackFactor float64
	// TargetLatencyMs is the fixed part of a job's SLO, in milliseconds.
	TargetLatencyMs int64
	// TimeoutMs bounds the time of a call on the queue, in milliseconds; it is above 0.
	TimeoutMs int64
	// RequiresPermit means that a worker needs a permit from the queue's policy to run a step.
	RequiresPermit bool
	// Public means that callers need no key.
	Public bool
}

// Pool is a set of workers that run the same service.
type Pool struct {
	// Name is unique and never empty.
	Name string
	// AdmissionCheck means that workers check the tasks that they are told to start, and refuse those that do not fit.
	AdmissionCheck bool
	// Standby means that the VMs of the pool are powered off and cost nothing.
	Standby bool
}

// QueueKey identifies a queue across changes of the configuration.
type QueueKey struct {
	// Host is that of the queue.
	Host string
	// Prefix is the path prefix of the queue.
	Prefix string
}

// Key returns the host and prefix of the queue.
func (q Queue) Key() QueueKey {
	return QueueKey{Host: q.Host, Prefix: q.Prefix}
}

// Name returns the host and prefix of the queue as one text.
func (q *Queue) Name() string {
	return q.Host + q.Prefix
}

// Match returns the queue with the longest prefix that matches a host and path, and the rest of the path after that
// prefix; nil if no queue matches.
func (c *Configuration) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue with a key, or nil if there is none.
func (c *Configuration) Queue(key QueueKey) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Key() == key {
			return &c.Queues[i]
		}
	}
	return nil
}

// Pool returns the pool with a name, or nil if there is none.
func (c *Configuration) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// fault returns why the queue is not valid, beside the pools of its configuration and the queues before it; empty if it is.
func (q *Queue) fault(pools map[string]bool, earlier map[QueueKey]bool) string {
	switch {
	case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
		return fmt.Sprintf("a queue has the host %q and the prefix %q", q.Host, q.Prefix)
	case q.TimeoutMs <= 0:
		return fmt.Sprintf("the queue %s has a time limit of %d ms", q.Name(), q.TimeoutMs)
	case !pools[q.Pool]:
		return fmt.Sprintf("the queue %s names the unknown pool %q", q.Name(), q.Pool)
	case earlier[q.Key()]:
		return "two queues have the host and prefix " + q.Name()
	default:
		return ""
	}
}
