package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

// answerLists answers the outstanding reads of the VM list; each line names a VM, its pool and its worker, or "-"
// for none, and may give its CPU. A line such as "unread m2" is a row that can't be read, "unread" one without a readable name.
func (h *harness) answerLists(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	r := sched.OrderResult{Code: orderCode(t, d)}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if fields[0] == "unread" {
			r.Unread = append(r.Unread, sched.UnreadVM{Name: strings.ReplaceAll(strings.Join(fields[1:], ""), "LONG", strings.Repeat("x", 300)), Cause: "odd"})
			continue
		}
		v := sched.VM{Name: fields[0], Pool: fields[1], State: sched.VMUp, Capacity: batch.Resources{CPUMilli: 16000, MemoryMB: 64000}}
		if fields[2] != "-" {
			v.Worker = fields[2]
		}
		if len(fields) > 3 {
			v.Capacity.CPUMilli, _ = strconv.ParseInt(fields[3], 10, 64)
		}
		r.VMs = append(r.VMs, v)
	}
	r.NextPage = stringArg(d, "next", "")
	h.finishOrders(func(o sched.Order) bool { return o.Kind == sched.OrderList }, r)
}

// cancelMany cancels many unknown jobs, "each" times each, and prints how many cancels got each code.
func (h *harness) cancelMany(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	first, codes := intArg(t, d, "first", 0), map[string]int{}
	for range intArg(t, d, "each", 1) {
		for i := range intArg(t, d, "jobs", 1) {
			target := &batch.RequestTarget{Host: "h", Path: fmt.Sprintf("/q/%016x", first+i)}
			h.scheduler.Call(&batch.Call{Credential: credential(d), Cancel: target}, h.uptime.ms, func(r batch.Reply) { codes[r.Code.String()]++ })
		}
	}
	h.log.commitAll()
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		h.replies = append(h.replies, fmt.Sprintf("%s: %d", code, codes[code]))
	}
}

// orderCode returns the code with which a command answers an order.
func orderCode(t *testing.T, d *datadriven.TestData) sched.OrderCode {
	t.Helper()
	name := stringArg(d, "code", sched.OrderDone.String())
	for c := sched.OrderDone; c <= sched.OrderExpired; c++ {
		if c.String() == name {
			return c
		}
	}
	t.Fatalf("%s: no code is called %s", d.Pos, name)
	return 0
}

// answerListsWithMany answers the outstanding reads of the VM list with VMs of the spare pool that have no worker.
func (h *harness) answerListsWithMany(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	r := sched.OrderResult{Code: sched.OrderDone}
	for i := range intArg(t, d, "vms", 0) {
		r.VMs = append(r.VMs, sched.VM{
			Name: fmt.Sprintf("m%03d", i), Pool: "spare", State: sched.VMUp, Capacity: batch.Resources{CPUMilli: 16000, MemoryMB: 64000},
		})
	}
	h.finishOrders(func(o sched.Order) bool { return o.Kind == sched.OrderList }, r)
}
