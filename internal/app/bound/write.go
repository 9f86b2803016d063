package bound

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	plan "cowslipstack/internal/plan/bound"
)

// valueRule tells how jobs are valued.
const valueRule = "0.3 + 0.7 x work / mean work of the queue's jobs of the day, at most 4"

// amountView is a number of jobs and their value.
type amountView struct {
	Jobs  float64 `json:"jobs"`
	Value float64 `json:"value"`
}

// rowView is a row of the report as JSON.
type rowView struct {
	Name           string     `json:"name"`
	Asked          amountView `json:"asked"`
	Bound          amountView `json:"bound"`
	InTime         amountView `json:"in_time"`
	Late           amountView `json:"late"`
	Never          amountView `json:"never"`
	Refused        amountView `json:"refused"`
	RefusedInBound amountView `json:"refused_in_bound"`
	// Share is null if the bound serves nothing.
	Share *float64 `json:"share"`
}

// reportView is the report as JSON.
type reportView struct {
	From      time.Time `json:"from"`
	To        time.Time `json:"to"`
	SlotMs    int64     `json:"slot_ms"`
	ValueRule string    `json:"value_rule"`
	LeftOut   leftOut   `json:"left_out"`
	Leaders   int       `json:"leaders"`
	LostLines int       `json:"lost_lines"`
	// UnreadableLines is the number of lines that aren't lines of the log.
	UnreadableLines int       `json:"unreadable_lines"`
	Total           rowView   `json:"total"`
	Queues          []rowView `json:"queues"`
	Accounts        []rowView `json:"accounts"`
}

// decimals is the number of parts of one that JSON gives; more would be noise, and differ between processors.
const decimals = 10_000

func rounded(x float64) float64 {
	return math.Round(x*decimals) / decimals
}

func viewOfAmount(a plan.Amount) amountView {
	return amountView{Jobs: rounded(a.Jobs), Value: rounded(a.Value)}
}

func viewOf(r *plan.Row) rowView {
	v := rowView{
		Name: r.Name, Asked: viewOfAmount(r.Asked), Bound: viewOfAmount(r.Bound), InTime: viewOfAmount(r.Done),
		Late: viewOfAmount(r.Late), Never: viewOfAmount(r.Never), Refused: viewOfAmount(r.Refused),
		RefusedInBound: viewOfAmount(r.RefusedInBound),
	}
	if r.Bound.Value > 0 {
		share := rounded(r.Share)
		v.Share = &share
	}
	return v
}

func viewsOf(rows []plan.Row) []rowView {
	views := make([]rowView, 0, len(rows))
	for i := range rows {
		views = append(views, viewOf(&rows[i]))
	}
	return views
}

func writeJSON(out io.Writer, d *day, slotMs int64, r plan.Report) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.WithStack(e.Encode(reportView{
		From: time.UnixMilli(d.startMs).UTC(), To: time.UnixMilli(d.endMs).UTC(), SlotMs: slotMs, ValueRule: valueRule,
		LeftOut: d.leftOut, Leaders: d.leaders, LostLines: d.lostLines, UnreadableLines: d.unreadable,
		Total: viewOf(&r.Total), Queues: viewsOf(r.Queues), Accounts: viewsOf(r.Accounts),
	}))
}

// writeText writes the report as tables by queue and by account. Jobs are counted; the share is one of values.
func writeText(out io.Writer, d *day, slotMs int64, r plan.Report) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d jobs from %s to %s, slots of %d ms\n", len(d.jobs), time.UnixMilli(d.startMs).UTC().Format(time.RFC3339Nano),
		time.UnixMilli(d.endMs).UTC().Format(time.RFC3339Nano), slotMs)
	fmt.Fprintf(&text, "value of a job: %s\n", valueRule)
	fmt.Fprintf(&text, "jobs left out: %d long-running, %d scheduled, %d with an SLO after the end of the log, %d without a recorded submission\n",
		d.leftOut.LongRunning, d.leftOut.Scheduled, d.leftOut.Open, d.leftOut.Unknown)
	fmt.Fprintf(&text, "log: %d lines lost to the limit per second, %d unreadable; the leadership was taken %d times\n\n",
		d.lostLines, d.unreadable, d.leaders)
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, table := range []struct {
		name string
		rows []plan.Row
	}{{"queue", r.Queues}, {"account", r.Accounts}, {"", []plan.Row{r.Total}}} {
		if table.name != "" {
			_, _ = fmt.Fprintf(w, "%s\tasked\tbound\tin time\tlate\tnever\trefused\trefused in bound\tvalue of bound\tvalue in time\tshare\t\n", table.name)
		}
		for i := range table.rows {
			writeRow(w, &table.rows[i], table.name == "")
		}
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	_, err := io.WriteString(out, text.String())
	return errors.WithStack(err)
}

func writeRow(w io.Writer, r *plan.Row, total bool) {
	name, share := r.Name, "-"
	switch {
	case total:
		name = "all"
	case name == "":
		name = "-"
	}
	if r.Bound.Value > 0 {
		share = fmt.Sprintf("%.1f%%", 100*r.Share)
	}
	_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%s\t\n", name, r.Asked.Jobs, r.Bound.Jobs, r.Done.Jobs,
		r.Late.Jobs, r.Never.Jobs, r.Refused.Jobs, r.RefusedInBound.Jobs, r.Bound.Value, r.Done.Value, share)
}
