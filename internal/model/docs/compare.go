package docs

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the kind of a difference between two documents; the zero value is not valid.
type ChangeKind int

const (
	// ChangeAdded means that only the new document has the item.
	ChangeAdded ChangeKind = iota + 1 // added
	// ChangeModified means that both documents have the item, with different fields.
	ChangeModified // changed
	// ChangeRemoved means that only the old document has the item.
	ChangeRemoved // removed
)

// Change is one item that differs between two documents.
type Change struct {
	// Kind is the kind of the difference.
	Kind ChangeKind
	// Table is the name of the item's table, such as services.
	Table string
	// Name is the name of the item; empty for a table that is not a list.
	Name string
	// Fields are the fields that differ; empty for an item that was added or removed.
	Fields []Field
}

// Field is one field of an item that differs between two documents.
type Field struct {
	// Name is the key of the field in the document.
	Name string
	// From is the value in the old document.
	From string
	// To is the value in the new document.
	To string
}

// Compare returns the differences between two documents. The tables are in a fixed order; in a list, the items of to come
// first, in their order, and then the removed items.
func Compare(from, to Environment) []Change {
	changes := compareList("pools", from.Pools, to.Pools, func(p Pool) Name { return p.Name })
	changes = append(changes, compareList("services", from.Services, to.Services, func(s Service) Name { return s.Name })...)
	changes = append(changes, compareList("teams", from.Teams, to.Teams, func(t Team) Name { return t.Name })...)
	changes = append(changes, compareOne("maintenance", from.Maintenance, to.Maintenance)...)
	return append(changes, compareOne("weights", from.Weights, to.Weights)...)
}

func compareList[T any](table string, from, to []T, name func(T) Name) []Change {
	before := make(map[Name]T, len(from))
	for _, item := range from {
		before[name(item)] = item
	}
	after := make(map[Name]bool, len(to))
	var changes []Change
	for _, item := range to {
		after[name(item)] = true
		old, ok := before[name(item)]
		if !ok {
			changes = append(changes, Change{Kind: ChangeAdded, Table: table, Name: string(name(item))})
		} else if fields := changedFields(old, item); len(fields) > 0 {
			changes = append(changes, Change{Kind: ChangeModified, Table: table, Name: string(name(item)), Fields: fields})
		}
	}
	for _, item := range from {
		if !after[name(item)] {
			changes = append(changes, Change{Kind: ChangeRemoved, Table: table, Name: string(name(item))})
		}
	}
	return changes
}

func compareOne[T any](table string, from, to T) []Change {
	if fields := changedFields(from, to); len(fields) > 0 {
		return []Change{{Kind: ChangeModified, Table: table, Fields: fields}}
	}
	return nil
}

// changedFields returns the fields that differ between two structs of one type, with their keys in the document.
func changedFields(from, to any) []Field {
	var fields []Field
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		key, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		fields = append(fields, Field{Name: key, From: fmt.Sprint(a.Field(i)), To: fmt.Sprint(b.Field(i))})
	}
	return fields
}
