package fleet

import "time"

// Endpoint is one runner of a service as it announced itself.
type Endpoint struct {
	// Name is the endpoint's own name, unique within its service.
	Name string
	// Service is the service that the endpoint runs.
	Service string
	// Address is the host:port that takes requests.
	Address string
	// VM is the name of the VM that the endpoint runs on.
	VM string
	// Epoch is the VM's pool epoch as the endpoint knows it.
	Epoch uint64
	// Slots is the most requests in progress at one time.
	Slots int
	// Domain is where the endpoint stands.
	Domain Domain
	// Sequence rises with each announcement of the endpoint.
	Sequence uint64
	// Leaving is final for the endpoint's name: it gets no new work.
	Leaving bool
	// Expires is when the announcement lapses unless it is renewed.
	Expires time.Time
}

// Key names the endpoint among all services.
func (e Endpoint) Key() string {
	return e.Service + "/" + e.Name
}
