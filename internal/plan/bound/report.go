package bound

import (
	"cmp"
	"slices"
)

// Amount is a number of jobs and their value; the bound serves parts of jobs.
type Amount struct {
	// Jobs is the number of jobs.
	Jobs float64
	// Value is the value of these jobs.
	Value float64
}

func (a *Amount) add(part float64, j *Job) {
	a.Jobs += part
	a.Value += part * j.Value
}

// Row compares the bound with what a set of jobs got.
type Row struct {
	// Name is the name of the queue or the account; empty for all jobs.
	Name string
	// Asked are all jobs.
	Asked Amount
	// Bound is what the bound serves in time.
	Bound Amount
	// Done are the jobs that were done in time, and Late those that were done later.
	Done, Late Amount
	// Never are the jobs that were accepted and never done.
	Never Amount
	// Refused are the jobs that were never accepted, and RefusedInBound is what the bound serves of them.
	Refused, RefusedInBound Amount
	// Share is the value of what was done in time as a part of that of the bound; 1 if the bound serves nothing.
	Share float64
}

// Report compares the bound of all jobs with what they got, in all and by queue and account.
type Report struct {
	// Total is the row of all jobs.
	Total Row
	// Queues and Accounts are the rows by name.
	Queues, Accounts []Row
}

// Compare returns the report for jobs and the parts of them that the bound serves, as returned by Serve.
func Compare(jobs []Job, served []float64) Report {
	var total Row
	queues, accounts := map[string]*Row{}, map[string]*Row{}
	for i := range jobs {
		j := &jobs[i]
		for _, r := range []*Row{&total, rowOf(queues, j.Queue), rowOf(accounts, j.Account)} {
			r.add(j, served[i])
		}
	}
	total.setShare()
	return Report{Total: total, Queues: sortedRows(queues), Accounts: sortedRows(accounts)}
}

func rowOf(rows map[string]*Row, name string) *Row {
	if rows[name] == nil {
		rows[name] = &Row{Name: name}
	}
	return rows[name]
}

func (r *Row) add(j *Job, served float64) {
	r.Asked.add(1, j)
	r.Bound.add(served, j)
	switch j.Outcome {
	case InTime:
		r.Done.add(1, j)
	case Late:
		r.Late.add(1, j)
	case Never:
		r.Never.add(1, j)
	case Refused:
		r.Refused.add(1, j)
		r.RefusedInBound.add(served, j)
	}
}

func (r *Row) setShare() {
	r.Share = 1
	if r.Bound.Value > 0 {
		r.Share = r.Done.Value / r.Bound.Value
	}
}

func sortedRows(rows map[string]*Row) []Row {
	sorted := make([]Row, 0, len(rows))
	for _, r := range rows {
		r.setShare()
		sorted = append(sorted, *r)
	}
	slices.SortFunc(sorted, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}
