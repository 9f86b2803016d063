package route

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// Request is what the choice of an endpoint needs to know of a request.
type Request struct {
	// Service is the service that is called.
	Service string
	// Team is the team that calls, as the document in force names it, or empty.
	Team string
	// Class is the class of the request.
	Class string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Tried are the endpoints that earlier attempts went to; another one is chosen,
	// in another failure domain where there is one.
	Tried []fleet.Endpoint
}

// Ticket is the right to send one attempt to one endpoint; it is released once.
type Ticket struct {
	// Endpoint is where the attempt goes.
	Endpoint fleet.Endpoint
	// Number names the ticket where its maker needs that.
	Number uint64
	// Most is the longest that the attempt may take; zero for no limit.
	Most time.Duration
}

// Result is what came of an attempt, for the choice of later ones.
type Result struct {
	// Outcome is what came of the attempt.
	Outcome fleet.Outcome
	// Aborted says that the caller went away, so that nothing is known of the endpoint.
	Aborted bool
	// Declined says that the endpoint declined before it began.
	Declined bool
	// Status is the HTTP status of the answer, 0 where there was none.
	Status int
	// Elapsed is the time from the sending to the end of the answer.
	Elapsed time.Duration
}

// Reason is why a request is not admitted; the zero value is not valid.
type Reason int

const (
	// ReasonNoEndpoint means that no endpoint of the service may take the request.
	ReasonNoEndpoint Reason = iota + 1 // no_endpoint
	// ReasonQueueFull means that too many requests wait.
	ReasonQueueFull // queue_full
	// ReasonTooLate means that the request can't be served in time.
	ReasonTooLate // too_late
	// ReasonDraining means that this entry is about to stop.
	ReasonDraining // draining
)

// Refusal is the error of a request that is not admitted; nothing of it was sent.
type Refusal struct {
	// Reason is why.
	Reason Reason
	// Message tells a caller why.
	Message string
}

// Error returns the reason and the message.
func (r *Refusal) Error() string {
	return r.Reason.String() + ": " + r.Message
}
