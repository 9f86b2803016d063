package conf

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex collects the line of each key of a TOML text. The elements of an array of tables are numbered from 0.
type lineIndex struct {
	parser unstable.Parser
	table  []string
	counts map[string]int
	lines  map[string]int
}

// keyLines returns the line of each dotted key, as far as the text can be parsed.
func keyLines(text []byte) map[string]int {
	x := &lineIndex{counts: map[string]int{}, lines: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.add(x.parser.Expression())
	}
	return x.lines
}

func (x *lineIndex) add(e *unstable.Node) {
	switch e.Kind {
	case unstable.Table:
		x.table = x.expand(x.key(e, nil))
		x.set(x.table, e)
	case unstable.ArrayTable:
		name := x.expand(x.key(e, nil))
		joined := strings.Join(name, ".")
		x.table = append(name, strconv.Itoa(x.counts[joined]))
		x.counts[joined]++
		x.set(x.table, e)
	case unstable.KeyValue:
		x.set(x.key(e, x.table), e)
	default:
	}
}

// key returns a copy of prefix, followed by the parts of the expression's key.
func (x *lineIndex) key(e *unstable.Node, prefix []string) []string {
	key := append([]string(nil), prefix...)
	for it := e.Key(); it.Next(); {
		key = append(key, string(it.Node().Data))
	}
	return key
}

// expand inserts the index of the latest element after each array of tables on the path of key.
func (x *lineIndex) expand(key []string) []string {
	var full []string
	for i, part := range key {
		full = append(full, part)
		count := x.counts[strings.Join(full, ".")]
		if count > 0 && i < len(key)-1 {
			full = append(full, strconv.Itoa(count-1))
		}
	}
	return full
}

func (x *lineIndex) set(key []string, e *unstable.Node) {
	it := e.Key()
	if !it.Next() {
		return
	}
	x.lines[strings.Join(key, ".")] = x.parser.Shape(it.Node().Raw).Start.Line
}
