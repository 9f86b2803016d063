package vmlist_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/ctrl/vmlist"
)

// TestScripts runs the scripts in testdata: "begin", "page", "abort" and "finish" are the course of a read, the input of "page" its
// rows, and "gone" and "worker-gone" ask which
// VMs and workers are gone since an uptime.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		reads := vmlist.NewReads()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "begin":
				reads.Begin(ms(t, d))
			case "page":
				return addPage(reads, d)
			case "abort":
				reads.Abort()
			case "finish":
				reads.Finish()
			case "gone":
				return describeGone(reads, ms(t, d), strings.Fields(d.Input))
			case "worker-gone":
				return describeWorkersGone(reads, ms(t, d), strings.Split(d.Input, "\n"))
			default:
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			}
			return fmt.Sprintf("in progress %t, whole since %d\n", reads.InProgress(), reads.BeganMs())
		})
	})
}

// addPage adds a page: a VM a line, or "unread" with the name that can be read, if any.
func addPage(reads *vmlist.Reads, d *datadriven.TestData) string {
	page := ""
	if len(d.CmdArgs) > 0 {
		page = d.CmdArgs[0].Key
	}
	if !reads.AddPage(page) {
		return "requested before\n"
	}
	for _, line := range strings.Split(d.Input, "\n") {
		if name, unread := strings.CutPrefix(line, "unread"); unread {
			reads.AddUnread(strings.TrimSpace(name))
		} else if line != "" {
			vm, worker, _ := strings.Cut(line, " ")
			reads.AddRow(vm, worker)
		}
	}
	return "ok\n"
}

func describeGone(reads *vmlist.Reads, since int64, names []string) string {
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, "%s: %t\n", name, reads.GoneSince(name, since))
	}
	return out.String()
}

// describeWorkersGone tells which workers are gone, each on a line with the VM on which it was last listed, if any.
func describeWorkersGone(reads *vmlist.Reads, since int64, lines []string) string {
	var out strings.Builder
	for _, line := range lines {
		worker, vm, _ := strings.Cut(line, " ")
		fmt.Fprintf(&out, "%s: %t\n", line, reads.WorkerGoneSince(worker, vm, since))
	}
	return out.String()
}

func ms(t *testing.T, d *datadriven.TestData) int64 {
	t.Helper()
	n, err := strconv.ParseInt(d.CmdArgs[0].Key, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	return n
}
