package docs

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is what happened to an item of a document; the zero value is not valid.
type ChangeKind int

const (
	// ChangeAdded means that only the later document has the item.
	ChangeAdded ChangeKind = iota + 1 // added
	// ChangeChanged means that the item's fields differ.
	ChangeChanged // changed
	// ChangeRemoved means that only the earlier document has the item.
	ChangeRemoved // removed
)

// Change is one item that differs between two documents.
type Change struct {
	// Kind is what happened to the item.
	Kind ChangeKind
	// Table is the item's table, such as services.
	Table string
	// Name is the item's name; empty for a table that is not a list.
	Name string
	// Fields are the fields that differ, for a changed item.
	Fields []Field
}

// Field is one field that differs.
type Field struct {
	// Name is the field's key in the document.
	Name string
	// From and To are its values.
	From string
	// To is its value in the later document.
	To string
}

// Compare returns what differs between two documents, in the order of the tables and the items' names in them.
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
		} else if fields := differing(old, item); len(fields) > 0 {
			changes = append(changes, Change{Kind: ChangeChanged, Table: table, Name: string(name(item)), Fields: fields})
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
	if fields := differing(from, to); len(fields) > 0 {
		return []Change{{Kind: ChangeChanged, Table: table, Fields: fields}}
	}
	return nil
}

// differing returns the fields of two structs of one type that differ, by their keys in the document.
func differing(from, to any) []Field {
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
