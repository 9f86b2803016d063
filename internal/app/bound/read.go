package bound

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"cowslipstack/internal/model/batch"
)

// maxLineBytes bounds a line of the log; processes write no line of more than 64 KiB.
const maxLineBytes = 1 << 20

// Events of the log that the bound uses.
const (
	eventAccepting = "job_accepting"
	eventRefused   = "job_refused_as_hopeless"
	eventEnded     = "job_ended"
	eventCapacity  = "fleet_capacity"
	eventLeader    = "control_taken"
)

// logLine holds the fields of a line of the log that the bound uses.
type logLine struct {
	Time        time.Time `json:"time"`
	Event       string    `json:"event"`
	Job         string    `json:"job"`
	Queue       string    `json:"queue"`
	Account     string    `json:"account"`
	Phase       string    `json:"phase"`
	WorkMs      int64     `json:"work_ms"`
	ChainMs     int64     `json:"chain_ms"`
	ObjectiveMs int64     `json:"objective_ms"`
	LongRunning bool      `json:"long_running"`
	Scheduled   bool      `json:"scheduled"`
	Cores       float64   `json:"cores"`
	ListedCores float64   `json:"listed_cores"`
	LeftOut     int       `json:"left_out"`
}

// reader collects the lines of a day from the logs of all processes.
type reader struct {
	lines []logLine
	// endMs is the time of the last line, in Unix milliseconds.
	endMs int64
	// unreadable is the number of lines that aren't lines of the log.
	unreadable int
}

func newReader() *reader {
	return &reader{}
}

// read reads a log to its end.
func (r *reader) read(in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := bytes.TrimSpace(s.Bytes())
		if len(text) == 0 {
			continue
		}
		var l logLine
		if err := json.Unmarshal(text, &l); err != nil || l.Event == "" || l.Time.IsZero() {
			r.unreadable++
			continue
		}
		r.endMs = max(r.endMs, l.Time.UnixMilli())
		switch l.Event {
		case eventAccepting, eventRefused, eventEnded, eventCapacity, eventLeader:
			r.lines = append(r.lines, l)
		}
	}
	return s.Err()
}

// record is what the log tells of one job.
type record struct {
	id, queue, account string
	// submittedMs is the time of its first submission, and endedMs that of its end, 0 for none, in Unix milliseconds.
	submittedMs, endedMs   int64
	accepted, completed    bool
	longRunning, scheduled bool
	// workMs, chainMs and objectiveMs are those of the last line that has them; the estimates get better during a day.
	workMs, chainMs, objectiveMs int64
}

// records returns what the log tells of each job, in the order of their first lines.
func (r *reader) records() []*record {
	slices.SortStableFunc(r.lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var all []*record
	byID := map[string]*record{}
	for i := range r.lines {
		l := &r.lines[i]
		if l.Job == "" {
			continue
		}
		j := byID[l.Job]
		if j == nil {
			j = &record{id: l.Job, submittedMs: l.Time.UnixMilli()}
			byID[l.Job] = j
			all = append(all, j)
		}
		switch {
		case j.endedMs > 0:
			// A resubmission of a job that has ended, or the same end logged by the next leader.
		case l.Event == eventEnded:
			j.end(l)
		default:
			j.submit(l)
		}
	}
	return all
}

func (j *record) submit(l *logLine) {
	j.queue, j.account = l.Queue, l.Account
	j.accepted = j.accepted || l.Event == eventAccepting
	j.longRunning, j.scheduled = l.LongRunning, l.Scheduled
	j.workMs, j.chainMs, j.objectiveMs = l.WorkMs, l.ChainMs, l.ObjectiveMs
}

func (j *record) end(l *logLine) {
	j.endedMs = l.Time.UnixMilli()
	j.completed = l.Phase == batch.PhaseCompleted.String()
	// The chain is corrected by the same factor as the work.
	if j.workMs > 0 {
		j.chainMs = int64(float64(j.chainMs) * float64(l.WorkMs) / float64(j.workMs))
	}
	j.workMs, j.objectiveMs = l.WorkMs, l.ObjectiveMs
}
