package opcli

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// newTable returns a writer that aligns the columns of a table.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
}

// writeTable prints the rows that write produces, with aligned columns.
func (c *cli) writeTable(write func(*tabwriter.Writer)) error {
	w := newTable(c.out)
	write(w)
	return errors.Wrap(w.Flush(), "write table")
}

// writeJSON writes a message as one JSON object with snake-case fields.
func (c *cli) writeJSON(m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode JSON")
	}
	_, err = fmt.Fprintf(c.out, "%s\n", data)
	return errors.Wrap(err, "write JSON")
}
