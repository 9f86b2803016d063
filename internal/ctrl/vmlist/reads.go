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
	r.current = &read{beganMs: nowMs, listed: map[string]bool{}, unread: map[string]bool{}, pages: map[string]bool{}}
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

// AddRow notes a row that can be read.
func (r *Reads) AddRow(name string) {
	r.current.listed[name] = true
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

// MayHoldUnread reports whether the last whole read may have had the row of a VM without its being readable: the row bears the
// VM's name, or there are more rows without a name than when the VM was last listed.
func (r *Reads) MayHoldUnread(name string) bool {
	return r.mayHoldUnread(r.last, name)
}

func (r *Reads) mayHoldUnread(whole *read, name string) bool {
	return whole != nil && (whole.unread[name] || whole.unnamed > r.unnamedRows[name])
}

// GoneSince reports whether the list shows that a VM isn't there: a whole read that began at an uptime or later has no row that may
// be the VM's. Where rows are spread over pages they move between these as VMs come and go, so that a read may miss one: two reads
// in succession have to show it then.
func (r *Reads) GoneSince(name string, sinceMs int64) bool {
	if !r.lacks(r.last, name, sinceMs) {
		return false
	}
	return len(r.last.pages) == 1 || r.lacks(r.previous, name, sinceMs)
}

// lacks reports whether a whole read that began at an uptime or later has no row that may be a VM's.
func (r *Reads) lacks(whole *read, name string, sinceMs int64) bool {
	return whole != nil && whole.beganMs >= sinceMs && !whole.listed[name] && !r.mayHoldUnread(whole, name)
}
