package codec

import (
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/peer"
)

// EndpointsToWire returns announcements with the time that each has left.
func EndpointsToWire(endpoints []fleet.Endpoint, now time.Time) []*peer.Announcement {
	wire := make([]*peer.Announcement, 0, len(endpoints))
	for _, e := range endpoints {
		wire = append(wire, &peer.Announcement{
			Service: e.Service, Endpoint: e.Name, Address: e.Address, Vm: e.VM, Epoch: e.Epoch,
			Slots: uint32(max(e.Slots, 0)), Sequence: e.Sequence, Leaving: e.Leaving,
			TtlMs: e.Expires.Sub(now).Milliseconds(), DataCentre: e.Domain.DataCentre, Rack: e.Domain.Rack,
		})
	}
	return wire
}

// EndpointsFromWire returns the endpoints of announcements that lapse on the receiver's clock.
func EndpointsFromWire(wire []*peer.Announcement, now time.Time) []fleet.Endpoint {
	endpoints := make([]fleet.Endpoint, 0, len(wire))
	for _, w := range wire {
		endpoints = append(endpoints, fleet.Endpoint{
			Service: w.GetService(), Name: w.GetEndpoint(), Address: w.GetAddress(), VM: w.GetVm(), Epoch: w.GetEpoch(),
			Slots: int(w.GetSlots()), Sequence: w.GetSequence(), Leaving: w.GetLeaving(),
			Expires: now.Add(time.Duration(w.GetTtlMs()) * time.Millisecond),
			Domain:  fleet.Domain{DataCentre: w.GetDataCentre(), Rack: w.GetRack()},
		})
	}
	return endpoints
}
