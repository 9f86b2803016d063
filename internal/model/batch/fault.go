package batch

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Subject is the kind of entry of a configuration that a fault concerns; the zero value is not valid.
type Subject int

const (
	// SubjectConfiguration is the configuration as a whole.
	SubjectConfiguration Subject = iota + 1 // configuration
	// SubjectQueue is a queue, identified by its host and prefix.
	SubjectQueue // queue
	// SubjectPool is a pool, identified by its name.
	SubjectPool // pool
	// SubjectAccount is a client account, identified by its name.
	SubjectAccount // account
)

// Fault is a reason why a configuration is not valid. It contains no key.
type Fault struct {
	// Subject is the kind of the entry that the fault concerns, and Name identifies it; empty for the configuration.
	Subject Subject
	Name    string
	// Text describes the fault.
	Text string
}

// TextError reports that the text of a configuration can't be decoded. It contains no part of the text.
type TextError struct {
	// Line and Column are the place of the fault, both from 1 and in characters; 0 if it isn't known.
	Line, Column int
	// Problem describes the fault.
	Problem string
}

// Error returns the place and the description of the fault.
func (e *TextError) Error() string {
	if e.Line == 0 {
		return e.Problem
	}
	return fmt.Sprintf("the configuration can't be read: line %d, column %d: %s", e.Line, e.Column, e.Problem)
}

// Check returns an error with the first reason why the configuration is not valid, or nil.
func (c *Configuration) Check() error {
	if faults := c.Faults(); len(faults) > 0 {
		return errors.Newf("%s", faults[0].Text)
	}
	return nil
}

// Faults returns all reasons why the configuration is not valid, in the order of its entries.
func (c *Configuration) Faults() []Fault {
	var faults []Fault
	if c.Version == 0 {
		faults = append(faults, Fault{Subject: SubjectConfiguration, Text: "the configuration has no version"})
	}
	faults, pools := c.poolFaults(faults)
	return c.accountFaults(c.queueFaults(faults, pools))
}

// poolFaults appends the faults of the pools, and returns the pools' names too.
func (c *Configuration) poolFaults(faults []Fault) ([]Fault, map[string]bool) {
	pools := make(map[string]bool, len(c.Pools))
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			text := fmt.Sprintf("the pool name %q is empty or stands twice", p.Name)
			faults = append(faults, Fault{Subject: SubjectPool, Name: p.Name, Text: text})
		}
		pools[p.Name] = true
	}
	return faults, pools
}

// queueFaults appends the faults of the queues; pools are the names of the configuration's pools.
func (c *Configuration) queueFaults(faults []Fault, pools map[string]bool) []Fault {
	keys := make(map[QueueKey]bool, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		if text := q.fault(pools, keys); text != "" {
			faults = append(faults, Fault{Subject: SubjectQueue, Name: q.Name(), Text: text})
		}
		keys[q.Key()] = true
	}
	return faults
}
