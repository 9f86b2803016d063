package fleet

import "time"

// Endpoint is one runner of a service, as its latest announcement describes it.
type Endpoint struct {
	// Name is unique within the service.
	Name string
	// Service is the name of the service that the endpoint runs.
	Service string
	// Address is the host:port that accepts requests.
	Address string
	// VM is the name of the VM that the endpoint runs on.
	VM string
	// Epoch is the epoch of the VM as the endpoint knows it.
	Epoch uint64
	// Slots is the most requests that the endpoint works on at one time.
	Slots int
	// Domain is the endpoint's position in the failure domains.
	Domain Domain
	// Sequence rises with each announcement; an older one is out of date.
	Sequence uint64
	// Leaving means that the endpoint gets no new requests; it is final for the endpoint's name.
	Leaving bool
	// Expires is when the announcement expires unless it is renewed.
	Expires time.Time
}

// Key returns "service/name", which identifies the endpoint among all services.
func (e Endpoint) Key() string {
	return e.Service + "/" + e.Name
}
