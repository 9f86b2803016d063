package sched_test

import (
	"fmt"
)

// configurationModel is what operators and callers know of the configuration: each change that was sent, which ones were acknowledged, and
// what was in force.
type configurationModel struct {
	orders []*absenceOrder
	byText map[string]*absenceOrder
	// highest is the highest version that was sent, highestValid that of a valid change.
	highest, highestValid uint64
	// acknowledged and seen are the highest versions that were acknowledged, and that were given or obeyed.
	acknowledged, seen uint64
	// inForce holds, by version, the text that was in force under it.
	inForce map[uint64]string
}

func newConfigurationModel() *configurationModel {
	return &configurationModel{byText: map[string]*absenceOrder{}, inForce: map[uint64]string{}}
}

// newOrder returns a change that wasn't sent before.
func (m *configurationModel) newOrder(version uint64, invalid bool) *absenceOrder {
	o := &absenceOrder{version: version, text: fmt.Sprintf("%d-%d", version, len(m.orders)), invalid: invalid}
	m.orders = append(m.orders, o)
	m.byText[o.text] = o
	m.highest = max(m.highest, version)
	if !invalid {
		m.highestValid = max(m.highestValid, version)
	}
	return o
}

// recentOrder returns one of the last changes, nil if there was none; draw returns a number below its argument.
func (m *configurationModel) recentOrder(draw func(int) int) *absenceOrder {
	if len(m.orders) == 0 {
		return nil
	}
	return m.orders[len(m.orders)-1-min(draw(len(m.orders)), draw(8))]
}

// least returns the lowest version that the answer to a call that is sent now may rest on.
func (m *configurationModel) least() uint64 { return max(m.acknowledged, m.seen) }

// The methods below note an answer and return what is wrong with it, empty for nothing. least is the model's when the call was sent.

// noteOrderAnswer notes a clear answer to a change.
func (m *configurationModel) noteOrderAnswer(o *absenceOrder, ok bool) string {
	switch {
	case o.invalid && ok:
		return fmt.Sprintf("takes the invalid configuration %s;", o.text)
	case o.invalid:
		return ""
	case !ok && o.acknowledged:
		return fmt.Sprintf("refuses the configuration %s, which was acknowledged before;", o.text)
	case !ok:
		return fmt.Sprintf("refuses the valid configuration %s;", o.text)
	}
	o.acknowledged = true
	m.acknowledged = max(m.acknowledged, o.version)
	return ""
}

// noteVersion notes that a version was given.
func (m *configurationModel) noteVersion(version, least uint64) string {
	m.seen = max(m.seen, version)
	if version < least {
		return fmt.Sprintf("gives version %d, though version %d was acknowledged or given before", version, least)
	}
	return ""
}

// noteRead notes that a text was given.
func (m *configurationModel) noteRead(text string, least uint64) string {
	o := m.byText[text]
	if o == nil || o.invalid {
		return fmt.Sprintf("gives %q, which nobody sent or which is invalid;", text)
	}
	if wrong := m.noteInForce(o); wrong != "" {
		return wrong
	}
	return m.noteVersion(o.version, least)
}

// noteInForce notes that a change is in force.
func (m *configurationModel) noteInForce(o *absenceOrder) string {
	if held, ok := m.inForce[o.version]; ok && held != o.text {
		return fmt.Sprintf("goes by %s, though %s was in force under this version;", o.text, held)
	}
	m.inForce[o.version] = o.text
	return ""
}

// noteObeyed notes that a call was handled as one change alone allows.
func (m *configurationModel) noteObeyed(o *absenceOrder, least uint64) string {
	if o.invalid {
		return fmt.Sprintf("goes by the invalid configuration %s;", o.text)
	}
	if wrong := m.noteInForce(o); wrong != "" {
		return wrong
	}
	return m.noteVersion(o.version, least)
}

// noteNotObeyed notes that a call was refused which one change alone allows. That is wrong if the change must be in force: nothing higher was
// sent by now, and no other text under its version.
func (m *configurationModel) noteNotObeyed(o *absenceOrder, least uint64) string {
	if o.invalid || o.version != least || m.highestValid > o.version {
		return ""
	}
	for _, other := range m.orders {
		if other != o && !other.invalid && other.version == o.version {
			return ""
		}
	}
	return fmt.Sprintf("refuses what %s allows, though it was acknowledged or given before", o.text)
}
