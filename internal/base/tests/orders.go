package tests

import "fmt"

// recentOrders is the number of orders from which Recent mostly draws.
const recentOrders = 8

// Order is a change of the configuration as an operator sends it. Each one allows calls that no other one allows.
type Order struct {
	// Version is its version; two orders may have the same.
	Version uint64
	// Name is unique among all orders.
	Name string
	// Text is what a read gives while the order is in force; it is unique too.
	Text string
	// Invalid means that the order must be refused.
	Invalid bool
	// Acknowledged means that a process has acknowledged it.
	Acknowledged bool
}

// Orders is a plain model of the configuration: what operators have sent, what was acknowledged, and what was in force. Its methods that
// note an answer return what is wrong with it, empty for nothing; least is what Least returned when the call was sent.
type Orders struct {
	// All are the orders as they were first sent.
	All    []*Order
	byText map[string]*Order
	// highest is the highest version that was sent, highestValid that of a valid order.
	highest, highestValid uint64
	// acknowledged and seen are the highest versions that were acknowledged, and that were given or obeyed.
	acknowledged, seen uint64
	// inForce holds, by version, the order that was in force under it.
	inForce map[uint64]*Order
}

// NewOrders returns a model without orders.
func NewOrders() *Orders {
	return &Orders{byText: map[string]*Order{}, inForce: map[uint64]*Order{}}
}

// Add adds an order that is sent for the first time; text returns its text.
func (m *Orders) Add(version uint64, invalid bool, text func(*Order) string) *Order {
	o := &Order{Version: version, Name: fmt.Sprintf("%d-%d", version, len(m.All)), Invalid: invalid}
	o.Text = text(o)
	m.All = append(m.All, o)
	m.byText[o.Text] = o
	m.highest = max(m.highest, version)
	if !invalid {
		m.highestValid = max(m.highestValid, version)
	}
	return o
}

// Recent returns one of the last orders, nil if there is none; draw returns a number below its argument.
func (m *Orders) Recent(draw func(int) int) *Order {
	if len(m.All) == 0 {
		return nil
	}
	return m.All[len(m.All)-1-min(draw(len(m.All)), draw(recentOrders))]
}

// Highest returns the highest version that was sent.
func (m *Orders) Highest() uint64 { return m.highest }

// Acknowledged returns the highest version that was acknowledged.
func (m *Orders) Acknowledged() uint64 { return m.acknowledged }

// Least returns the lowest version that the answer to a call that is sent now may rest on.
func (m *Orders) Least() uint64 { return max(m.acknowledged, m.seen) }

// NoteAnswer notes a clear answer to an order: it was acknowledged or refused.
func (m *Orders) NoteAnswer(o *Order, acknowledged bool) string {
	switch {
	case o.Invalid && acknowledged:
		return fmt.Sprintf("takes the invalid configuration %s;", o.Name)
	case o.Invalid:
		return ""
	case !acknowledged && o.Acknowledged:
		return fmt.Sprintf("refuses the configuration %s, which was acknowledged before;", o.Name)
	case !acknowledged:
		return fmt.Sprintf("refuses the valid configuration %s;", o.Name)
	}
	o.Acknowledged = true
	m.acknowledged = max(m.acknowledged, o.Version)
	return ""
}

// NoteVersion notes that an answer rests on a version.
func (m *Orders) NoteVersion(version, least uint64) string {
	m.seen = max(m.seen, version)
	if version < least {
		return fmt.Sprintf("goes by version %d, though version %d was acknowledged or given before", version, least)
	}
	return ""
}

// NoteRead notes that a text was given.
func (m *Orders) NoteRead(text string, least uint64) string {
	o := m.byText[text]
	if o == nil {
		return fmt.Sprintf("gives %q, which nobody sent;", text)
	}
	return m.NoteObeyed(o, least)
}

// NoteObeyed notes that an answer rests on an order.
func (m *Orders) NoteObeyed(o *Order, least uint64) string {
	if o.Invalid {
		return fmt.Sprintf("goes by the invalid configuration %s;", o.Name)
	}
	if held := m.inForce[o.Version]; held != nil && held != o {
		return fmt.Sprintf("goes by %s, though %s was in force under this version;", o.Name, held.Name)
	}
	m.inForce[o.Version] = o
	return m.NoteVersion(o.Version, least)
}

// NoteNotObeyed notes that a call was refused which one order alone allows. That is wrong if the order must be in force: no higher one was
// sent by now, and no other one under its version.
func (m *Orders) NoteNotObeyed(o *Order, least uint64) string {
	if o.Invalid || o.Version != least || m.highestValid > o.Version {
		return ""
	}
	for _, other := range m.All {
		if other != o && !other.Invalid && other.Version == o.Version {
			return ""
		}
	}
	return fmt.Sprintf("refuses what %s allows, though it was acknowledged or given before", o.Name)
}
