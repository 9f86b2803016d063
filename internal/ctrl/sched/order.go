package sched

import (
	"cowslipstack/internal/model/batch"
)

// OrderKind is what the platform is asked; the zero value is not valid.
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

// OrderCode is what came of an order; the zero value is not valid.
type OrderCode int

const (
	// OrderDone means that it is done.
	OrderDone OrderCode = iota + 1 // done
	// OrderFenced means that another process holds the VM under a higher token.
	OrderFenced // fenced
	// OrderBusy means that the VM isn't up at present.
	OrderBusy // busy
	// OrderNotOfWave means that the VM is none of the wave's.
	OrderNotOfWave // not_of_wave
	// OrderImpossible means that there is no such VM, or that the pool takes other VMs.
	OrderImpossible // impossible
	// OrderLimited means that too much was asked; nothing was done.
	OrderLimited // limited
	// OrderUnknown means that no clear answer came: it may be done.
	OrderUnknown // unknown
)

// Order is one call on the platform.
type Order struct {
	// Kind is what is asked.
	Kind OrderKind
	// VM is the VM's name, for moves and maintenance.
	VM string
	// Pool is the pool to join, for moves.
	Pool string
	// Wave is the wave's number, for maintenance.
	Wave uint64
	// Page is where to go on, for the list; empty for the beginning.
	Page string
	// Step and Workers are what advice is asked about.
	Step    string
	Workers []string
	// Term is the fencing token.
	Term uint64
	// Done is called on the control loop with what came of it.
	Done func(OrderResult)
}

// OrderResult is what came of an order.
type OrderResult struct {
	// Code is the outcome.
	Code OrderCode
	// VMs are a page of the list, and Next names the next page; empty for the end.
	VMs  []VM
	Next string
	// Granted are the tickets of the workers that may run the step, and ValidMs is how long they hold, in milliseconds.
	Granted map[string]string
	ValidMs int64
	// Detail tells why, for people.
	Detail string
}

// VM is one VM as the platform lists it.
type VM struct {
	// Name is the platform's name.
	Name string
	// Pool is the pool that it belongs to.
	Pool string
	// State is what it does.
	State VMState
	// Worker is the identity of the worker on it; empty for none.
	Worker string
	// Capacity is what it has.
	Capacity batch.Capacity
	// Labels are its kind and its rack.
	Labels []string
}

// VMState is what a VM does; the zero value is not known.
type VMState int

const (
	// VMUp means that it can work, or be moved.
	VMUp VMState = iota + 1 // up
	// VMMoving means that it is on its way to a pool.
	VMMoving // moving
	// VMMaintained means that it is down for maintenance.
	VMMaintained // maintained
	// VMDown means that it is down.
	VMDown // down
)
