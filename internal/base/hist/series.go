package hist

import "strings"

// Label is a label of a metric; the value may be any text.
type Label struct {
	// Name is the label's name.
	Name string
	// Value is the label's value.
	Value string
}

// escaper escapes what ends or breaks a label's value in the text format of the metrics.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Series returns the full name of a metric with any labels. The metrics library panics on a name that it can't read, so names
// with labels are made nowhere else.
func Series(name string, labels ...Label) string {
	var b strings.Builder
	b.WriteString(name)
	separator := byte('{')
	for _, l := range labels {
		b.WriteByte(separator)
		b.WriteString(l.Name)
		b.WriteString(`="`)
		b.WriteString(escaper.Replace(strings.ToValidUTF8(l.Value, "\uFFFD")))
		b.WriteByte('"')
		separator = ','
	}
	if len(labels) > 0 {
		b.WriteByte('}')
	}
	return b.String()
}
