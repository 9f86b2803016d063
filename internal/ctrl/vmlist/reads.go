package vmlist

import "maps"

// maxRememberedVMs is the number of VMs from which those that aren't listed any more are forgotten.
const maxRememberedVMs = 8192

// read is what one read of the list has found.
type read struct {
	// beganMs is the uptime at which its first page was requested.
	beganMs int64
	// listed are the VMs with a row that can be read, unread those with only a row that can't.
	listed, unread map[string]bool
	// workers are the workers that are listed on a VM that is up.
	workers map[string]bool
	// unnamed is the number of rows without a readable name.
	unnamed int
	// pages are the pages that were requested.
	pages map[string]bool
}

// Reads are the reads of the list under one leader. At most one is in progress.
type Reads struct {
	// current is the read in progress, and last and previous are the last two whole ones; nil for none.
	current, last, previous *read
	// unnamedRows holds, by VM, the number of rows without a readable name in the last whole read that listed the VM.
	unnamedRows map[string]int
}

// NewReads returns the reads of a leader that hasn't read the list yet.
func NewReads() *Reads {
	return &Reads{unnamedRows: map[string]int{}}
}

// Begin begins a read whose first page is requested at an uptime in milliseconds.
func (r *Reads) Begin(nowMs int64) {
	r.current = &read{
		beganMs: nowMs, listed: map[string]bool{}, unread: map[string]bool{}, workers: map[string]bool{}, pages: map[string]bool{},
	}
}

// InProgress reports whether a read is in progress.
func (r *Reads) InProgress() bool {
	return r.current != nil
}

// AddPage notes that a page is requested, and reports whether the read in progress hasn't requested it before.
func (r *Reads) AddPage(page string) bool {
	if r.current.pages[page] {
		return false
	}
	r.current.pages[page] = true
	return true
}

// AddRow notes a row that can be read; worker is the worker on the VM if that is up, empty for none.
func (r *Reads) AddRow(name, worker string) {
	r.current.listed[name] = true
	if worker != "" {
		r.current.workers[worker] = true
	}
}

// AddUnread notes a row that can't be read; its name is empty if that can't be read either.
func (r *Reads) AddUnread(name string) {
	if name == "" {
		r.current.unnamed++
		return
	}
	r.current.unread[name] = true
}

// Abort ends the read in progress before its last page: what it doesn't hold shows nothing.
func (r *Reads) Abort() {
	r.current = nil
}

// Finish ends the read in progress, all of whose pages were read.
func (r *Reads) Finish() {
	r.previous, r.last, r.current = r.last, r.current, nil
	for name := range r.last.listed {
		r.unnamedRows[name] = r.last.unnamed
	}
	if len(r.unnamedRows) > maxRememberedVMs {
		maps.DeleteFunc(r.unnamedRows, func(name string, _ int) bool { return !r.last.listed[name] })
	}
}

// HaveWhole reports whether the list was read to its end at least once.
func (r *Reads) HaveWhole() bool {
	return r.last != nil
}

// BeganMs returns the uptime at which the last whole read began; 0 before one.
func (r *Reads) BeganMs() int64 {
	if r.last == nil {
		return 0
	}
	return r.last.beganMs
}

// mayHoldUnread reports whether a whole read may have had the row of a VM without its being readable: the row bears the VM's name,
// or there are more rows without a name than when the VM was last listed.
func (r *Reads) mayHoldUnread(whole *read, name string) bool {
	return whole.unread[name] || whole.unnamed > r.unnamedRows[name]
}

// GoneSince reports whether the list shows that a VM isn't there: a whole read that began at an uptime or later has no row that may
// be the VM's. Where rows are spread over pages they move between these as VMs come and go, so that a read may miss one: two reads
// in succession have to show it then.
func (r *Reads) GoneSince(name string, sinceMs int64) bool {
	return r.show(sinceMs, func(whole *read) bool { return !whole.listed[name] && !r.mayHoldUnread(whole, name) })
}

// WorkerGoneSince reports whether the list shows that a worker isn't up, as GoneSince does for VMs. vm is the name of the VM on which
// it was last listed; empty for none, where any row that can't be read may be its VM's.
func (r *Reads) WorkerGoneSince(worker, vm string, sinceMs int64) bool {
	return r.show(sinceMs, func(whole *read) bool {
		if whole.workers[worker] {
			return false
		}
		if vm == "" {
			return len(whole.unread)+whole.unnamed == 0
		}
		return !r.mayHoldUnread(whole, vm)
	})
}

// show reports whether as many whole reads that began at an uptime or later as it takes lack what a function looks for.
func (r *Reads) show(sinceMs int64, lacks func(whole *read) bool) bool {
	shows := func(whole *read) bool { return whole != nil && whole.beganMs >= sinceMs && lacks(whole) }
	return shows(r.last) && (len(r.last.pages) == 1 || shows(r.previous))
}
