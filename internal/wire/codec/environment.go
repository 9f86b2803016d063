package codec

import (
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/wire/peer"
)

// ChangesToWire encodes the differences between two documents as messages.
func ChangesToWire(changes []docs.Change) []*peer.ItemChange {
	wire := make([]*peer.ItemChange, 0, len(changes))
	for _, c := range changes {
		w := &peer.ItemChange{Kind: c.Kind.String(), Table: c.Table, Name: c.Name}
		for _, f := range c.Fields {
			w.Fields = append(w.Fields, &peer.FieldChange{Field: f.Name, From: f.From, To: f.To})
		}
		wire = append(wire, w)
	}
	return wire
}

// PreviewToWire encodes the preview of a document's effect as a message.
func PreviewToWire(p docs.Preview) *peer.Preview {
	w := &peer.Preview{Changes: ChangesToWire(p.Changes), Moves: countToWire(p.Moves), Lacking: countToWire(p.Shortfall)}
	for _, pool := range p.Pools {
		w.Pools = append(w.Pools, &peer.PoolPreview{Pool: pool.Pool, Have: countToWire(pool.Have), Want: countToWire(pool.Want)})
	}
	for _, b := range p.Budgets {
		w.Budgets = append(w.Budgets, &peer.BudgetPreview{
			Service: b.Service, AllowedS: uint64(max(b.AllowedSeconds, 0)), WindowDays: countToWire(b.WindowDays),
		})
	}
	return w
}
