package route

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// Request describes a request that needs an endpoint.
type Request struct {
	// Service is the name of the called service.
	Service string
	// Team is the calling team; empty where the document in force doesn't name it.
	Team string
	// Class is the class of the request.
	Class string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Tried are the endpoints of earlier attempts; a different endpoint is chosen,
	// in a different failure domain if there is one.
	Tried []fleet.Endpoint
}

// Ticket permits one attempt to one endpoint; it must be released exactly once.
type Ticket struct {
	// Endpoint is the endpoint that the attempt is sent to.
	Endpoint fleet.Endpoint
	// Number identifies the ticket to the dispatcher that issued it; a dispatcher that needs no number leaves it 0.
	Number uint64
	// Timeout is the maximum duration of the attempt; 0 means no limit.
	Timeout time.Duration
}

// Result is the result of an attempt; it informs the choice of endpoints for later attempts.
type Result struct {
	// Outcome is answered, not_run or unknown.
	Outcome fleet.Outcome
	// Aborted means that the caller went away, so that the result says nothing about the endpoint.
	Aborted bool
	// Declined means that the endpoint declined the request before it ran any of it.
	Declined bool
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Elapsed is the time from sending to the end of the response.
	Elapsed time.Duration
}

// Reason is the reason why a request is not admitted; the zero value is not valid.
type Reason int

const (
	// ReasonNoEndpoint means that no endpoint of the service may receive the request.
	ReasonNoEndpoint Reason = iota + 1 // no_endpoint
	// ReasonQueueFull means that too many requests are queued.
	ReasonQueueFull // queue_full
	// ReasonTooLate means that the request can't be served before its deadline.
	ReasonTooLate // too_late
	// ReasonDraining means that this entry is about to stop.
	ReasonDraining // draining
)

// Refusal is the error for a request that is not admitted; nothing of it was sent.
type Refusal struct {
	Reason Reason
	// Message explains the reason to the caller.
	Message string
}

// Error returns the reason and the message.
func (r *Refusal) Error() string {
	return r.Reason.String() + ": " + r.Message
}
