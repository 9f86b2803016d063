package batch

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Configuration is the operator's description of queues and pools; of two the one with the higher version holds.
type Configuration struct {
	// Version only rises; 0 stands for no configuration.
	Version uint64
	// Queues are the queues that take jobs.
	Queues []Queue
	// Pools are the pools of workers.
	Pools []Pool
	// Text is the configuration as the operator sent it.
	Text []byte
}

// Queue takes jobs and sends their tasks to one pool.
type Queue struct {
	// Host is the name under which callers reach the queue.
	Host string
	// Prefix is how the paths of its calls begin; the longest that fits counts.
	Prefix string
	// Pool names the pool that runs its tasks.
	Pool string
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts is the count of failures after which a task fails its job.
	MaxAttempts int
	// SlackFactor times the longest chain of work, plus TargetLatencyMs, is a job's SLO.
	SlackFactor float64
	// TargetLatencyMs is the fixed part of a job's SLO, in milliseconds.
	TargetLatencyMs int64
	// TimeoutMs bounds a call on the queue, in milliseconds; it is above 0.
	TimeoutMs int64
	// Advised means that the queue's policy tells which workers may run a step.
	Advised bool
}

// Pool is a set of workers that run the same service.
type Pool struct {
	// Name is the pool's name.
	Name string
	// Guarded means that its workers refuse what does not fit.
	Guarded bool
	// Standby means that its VMs are off and cost nothing.
	Standby bool
}

// QueueKey names a queue over changes of the configuration.
type QueueKey struct {
	// Host is the queue's host.
	Host string
	// Prefix is the queue's path prefix.
	Prefix string
}

// Key returns the queue's name.
func (q Queue) Key() QueueKey {
	return QueueKey{Host: q.Host, Prefix: q.Prefix}
}

// Match returns the queue of a host and path, and what the path holds after its prefix; nil where none fits.
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

// Pool returns a pool by its name, nil where there is none.
func (c *Configuration) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// Check returns why a configuration is not valid, or nil.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return errors.New("the configuration has no version")
	}
	pools := make(map[string]bool, len(c.Pools))
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return errors.Newf("the pool name %q is empty or stands twice", p.Name)
		}
		pools[p.Name] = true
	}
	keys := make(map[QueueKey]bool, len(c.Queues))
	for _, q := range c.Queues {
		switch {
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return errors.Newf("a queue has the host %q and the prefix %q", q.Host, q.Prefix)
		case q.TimeoutMs <= 0:
			return errors.Newf("the queue %s%s has a time limit of %d ms", q.Host, q.Prefix, q.TimeoutMs)
		case !pools[q.Pool]:
			return errors.Newf("the queue %s%s names the unknown pool %q", q.Host, q.Prefix, q.Pool)
		case keys[q.Key()]:
			return errors.Newf("two queues have the host and prefix %s%s", q.Host, q.Prefix)
		}
		keys[q.Key()] = true
	}
	return nil
}
