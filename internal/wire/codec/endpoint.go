package codec

import (
	"time"

	"cowslipstack/internal/edge/table"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/peer"
)

// EndpointsToWire encodes endpoints as announcements, each with its remaining TTL at now.
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

// EndpointsFromWire decodes endpoints from announcements; their TTLs count from now, the receiver's time.
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

// RefreshesToWire encodes refreshes as messages.
func RefreshesToWire(refreshes []table.Refresh) []*peer.Refresh {
	wire := make([]*peer.Refresh, 0, len(refreshes))
	for _, r := range refreshes {
		wire = append(wire, &peer.Refresh{Id: r.ID, TtlMs: r.TTL.Milliseconds()})
	}
	return wire
}

// RefreshesFromWire decodes refreshes from messages.
func RefreshesFromWire(wire []*peer.Refresh) []table.Refresh {
	refreshes := make([]table.Refresh, 0, len(wire))
	for _, w := range wire {
		refreshes = append(refreshes, table.Refresh{ID: w.GetId(), TTL: time.Duration(w.GetTtlMs()) * time.Millisecond})
	}
	return refreshes
}

// BucketsToWire encodes bucket indices; negative ones become 0.
func BucketsToWire(buckets []int) []uint32 {
	wire := make([]uint32, 0, len(buckets))
	for _, b := range buckets {
		wire = append(wire, countToWire(b))
	}
	return wire
}

// BucketsFromWire decodes bucket indices.
func BucketsFromWire(wire []uint32) []int {
	buckets := make([]int, 0, len(wire))
	for _, w := range wire {
		buckets = append(buckets, int(w))
	}
	return buckets
}
