package crowd_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// program is the path of the cowslipd that TestMain builds, without the race detector, whose memory would hide the process's.
var program string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "cowslipd")
	if out, err := exec.Command("go", "build", "-o", program, "cowslipstack/cmd/cowslipd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build cowslipd: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// TestCrowds runs the scripts in testdata one after the other. It guards against a process that exits, hangs, exceeds its
// memory or descriptors, or stops serving ordinary clients while others overload it. The commands:
//   - start: starts the process with limits.memory_mb and a limit on open files.
//   - start-daemon, daemon-requests: the same as start and requests without --site.
//   - crowd: connects the clients of a crowd, which send what they can and stay connected until the script ends.
//   - flood: makes complete requests, each a different one, from a number of clients.
//   - answers: as requests, but the job may be refused.
//   - requests: makes one ordinary request of each kind until it is served.
//   - largest: makes one request of each kind with a body of the largest legal size, and returns the statuses.
//   - bounds: checks that the process runs, that its peak memory and its descriptors are within bounds, and that it still
//     holds what it answered.
//   - closed: waits until the process has closed the connections of the crowds, so that few descriptors are open.
func TestCrowds(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p *process
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "start":
				p = startProcess(t, argument(t, d, "memory"), argument(t, d, "files"))
				return "started\n"
			case "start-daemon":
				p = startDaemon(t, argument(t, d, "files"))
				return "started\n"
			case "daemon-requests":
				return p.daemonRequests()
			case "crowd":
				newCrowd(t, p, d).connect()
				t.Logf("%s: after the crowd %s", path, p.figures())
				return ""
			case "flood":
				t.Logf("%s: %safter the flood %s", path, newFlood(t, p, d).send(), p.figures())
				return ""
			case "requests":
				return p.requests()
			case "answers":
				p.mayRefuse = true
				return p.requests()
			case "largest":
				return p.largest()
			case "bounds":
				t.Logf("%s: at the end %s", path, p.figures())
				return p.checkBounds(argument(t, d, "memory"), argument(t, d, "files")) + p.checkJobs()
			case "closed":
				return p.awaitDescriptors(argument(t, d, "files"))
			default:
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
				return ""
			}
		})
	})
}

// argument returns a number of a command, 0 if it isn't given.
func argument(t *testing.T, d *datadriven.TestData, key string) int {
	n := 0
	d.MaybeScanArgs(t, key, &n)
	return n
}
