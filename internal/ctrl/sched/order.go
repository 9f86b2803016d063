package sched

import (
	"cowslipstack/internal/model/batch"
)

// OrderKind is the kind of a request to the platform; the zero value is invalid.
type OrderKind int

const (
	// OrderList reads a page of the VM list.
	OrderList OrderKind = iota + 1 // list
	// OrderMove moves a VM to another pool; all that runs there ends.
	OrderMove // move
	// OrderMaintain takes a VM down for maintenance; all that runs there ends.
	OrderMaintain // maintain
	// OrderAdvise asks which workers may run a step.
	OrderAdvise // advise
)

// OrderCode is the outcome of an order; the zero value is invalid.
type OrderCode int

const (
	// OrderDone means that the order is carried out.
	OrderDone OrderCode = iota + 1 // done
	// OrderFenced means that another process holds the VM with a higher fencing token.
	OrderFenced // fenced
	// OrderBusy means that the VM isn't up at present.
	OrderBusy // busy
	// OrderNotInWave means that the VM doesn't belong to the wave.
	OrderNotInWave // not_of_wave
	// OrderImpossible means that the VM doesn't exist, or that the pool takes VMs of another kind.
	OrderImpossible // impossible
	// OrderLimited means that a rate limit was exceeded; nothing was done.
	OrderLimited // limited
	// OrderUnknown means that the answer is missing or unclear: the order may have been carried out.
	OrderUnknown // unknown
	// OrderExpired means that the order was not sent in time; nothing was done.
	OrderExpired // expired
)

// Order is one request to the platform.
type Order struct {
	// Kind is the request.
	Kind OrderKind
	// VM is the VM's name, for moves and maintenance.
	VM string
	// Pool is the pool to join, for moves.
	Pool string
	// Wave is the wave's identity, for maintenance.
	Wave uint64
	// Page is the page of the list to read; empty for the first.
	Page string
	// Step and Workers name the step and the candidate workers, for advice.
	Step    string
	Workers []string
	// Term is the leader's term, used as the fencing token.
	Term uint64
	// NotAfterMs is the uptime after which it must not be sent, since another leader may have taken over; 0 for no limit.
	NotAfterMs int64
	// Done is called on the control loop with the result.
	Done func(OrderResult)
}

// OrderResult is the result of an order.
type OrderResult struct {
	// Code is the outcome.
	Code OrderCode
	// VMs are a page of the list, and NextPage names the next page; empty after the last.
	VMs      []VM
	NextPage string
	// Unread are the rows of the page that can't be read.
	Unread []UnreadVM
	// Tickets holds the tickets of the workers that may run the step, and ValidMs how long they are valid, in
	// milliseconds.
	Tickets map[string]string
	ValidMs int64
	// Detail explains the outcome to operators.
	Detail string
}

// VM is one VM in the platform's list.
type VM struct {
	// Name is the platform's name of the VM.
	Name string
	// Pool is the pool that it belongs to.
	Pool string
	// State is its state when the list was made.
	State VMState
	// Worker is the identity of the worker on it; empty for none.
	Worker string
	// Capacity is the VM's total resources.
	Capacity batch.Resources
	// Labels are its kind and its rack.
	Labels []string
}

// UnreadVM is a row of the platform's list that can't be read.
type UnreadVM struct {
	// Name is the platform's name of the VM; empty if the row has none that can be read.
	Name string
	// Cause tells what can't be read.
	Cause string
}

// VMState is the state of a VM; the zero value means unknown.
type VMState int

const (
	// VMUp means that it can run a worker, or be moved.
	VMUp VMState = iota + 1 // up
	// VMMoving means that it is moving to a pool.
	VMMoving // moving
	// VMMaintained means that it is down for maintenance.
	VMMaintained // maintained
	// VMDown means that it is down.
	VMDown // down
)
