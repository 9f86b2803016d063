package chaos_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// frozenProcesses is the number of processes of a script; the last one has no disk.
const frozenProcesses = soakDisks + 1

// TestFrozenProcessHoldsSubmission runs the scripts of testdata/frozen (review/9): a job that is cancelled while a process that
// stands still holds its submission doesn't run.
func TestFrozenProcessHoldsSubmission(t *testing.T) { runFrozenScripts(t, "testdata/frozen/*") }

// TestFrozenLeaderHoldsReads runs the scripts of testdata/frozen-leader: a read that came while the leader stood still isn't
// answered with a configuration older than one that was acknowledged before it.
func TestFrozenLeaderHoldsReads(t *testing.T) { runFrozenScripts(t, "testdata/frozen-leader/*") }

func runFrozenScripts(t *testing.T, pattern string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := newSoak(t, 0, frozenProcesses, 0)
			r := &frozenScript{soak: s, caller: s.startSite(restartConfiguration), submissions: map[string]*heldSubmission{}}
			s.awaitReady(r.caller)
			s.runSteps(file, r.runStep)
			s.checkLogs()
			s.saveLogs()
		})
	}
}

// heldSubmission is a submission that was sent on a connection of its own.
type heldSubmission struct {
	conn    net.Conn
	expires time.Time
}

// heldRead is a read of the configuration that was sent on a connection of its own, and the least version that its answer may have.
type heldRead struct {
	conn  net.Conn
	least int
}

// frozenScript runs the steps of one script: "freeze" and "thaw" a process, "kill leader"; "submit" sends a job's submission to a
// process and doesn't wait for an answer, "leave" closes its connection, "expire" waits until its deadline has passed, "answer" reads
// its status; "cancel" and "state" make a call until it has a clear answer, which is compared; "await" waits for a line in the log of
// the process that was frozen. "lead" waits until another process leads; "configure" sends a version until it is acknowledged; "read"
// sends a number of reads of the configuration, whose answers must have a version at least, and doesn't wait; "answers" checks them.
// Processes are named by their index, "leader" or "frozen", the one that was frozen last.
type frozenScript struct {
	soak        *soak
	caller      *siteCaller
	submissions map[string]*heldSubmission
	frozen      *siteProcess
	reads       []heldRead
	// before is what the log of the process held that was frozen last.
	before string
}

func (r *frozenScript) runStep(words []string) {
	is := is.New(r.soak.t)
	switch words[0] {
	case "freeze":
		r.frozen = r.process(words[1])
		is.NoErr(r.frozen.command.Process.Signal(syscall.SIGSTOP))
		r.before = r.logOf(r.frozen)
	case "thaw":
		is.NoErr(r.process(words[1]).command.Process.Signal(syscall.SIGCONT))
	case "kill":
		r.killLeader()
	case "submit":
		r.submit(words[1], r.process(words[2]), words[3])
	case "lead":
		r.soak.await("a leader other than "+r.frozen.name, func() bool { return r.lastLeader() != r.frozen })
	case "configure":
		r.configure(words[1], r.process(words[2]))
	case "read":
		r.read(r.number(words[1]), r.process(words[2]), r.number(words[3]))
	case "answers":
		r.checkReads()
	case "leave":
		is.NoErr(r.submissions[words[1]].conn.Close())
	case "expire":
		time.Sleep(time.Until(r.submissions[words[1]].expires))
	case "answer":
		r.expect(words[2], r.readAnswer(words[1]))
	case "cancel":
		r.expect(words[3], r.callUntilClear(http.MethodDelete, words[1], r.process(words[2])))
	case "state":
		r.expect(strings.Join(words[3:], " "), r.callUntilClear(http.MethodGet, words[1], r.process(words[2])))
	case "await":
		r.awaitLine(r.process(words[1]), words[2])
	default:
		r.soak.t.Fatalf("unknown step %q", words)
	}
}

func (r *frozenScript) process(name string) *siteProcess {
	switch name {
	case "leader":
		return r.lastLeader()
	case "frozen":
		return r.frozen
	}
	return r.soak.processes[r.number(name)]
}

func (r *frozenScript) number(word string) int {
	n, err := strconv.Atoi(word)
	is.New(r.soak.t).NoErr(err)
	return n
}

func (r *frozenScript) expect(want, got string) {
	if want != got {
		r.soak.t.Errorf("expected %q, got %q", want, got)
	}
}

// submit sends the submission of a job of one task to a process, with a deadline.
func (r *frozenScript) submit(id string, p *siteProcess, deadline string) {
	is := is.New(r.soak.t)
	limit, err := time.ParseDuration(deadline)
	is.NoErr(err)
	conn, err := net.Dial("tcp", p.callers())
	is.NoErr(err)
	r.soak.t.Cleanup(func() { _ = conn.Close() })
	body := `{"spec":"text","phases":[{"count":1,"cpu":100,"memMb":10,"estimateMs":300}]}`
	_, err = fmt.Fprintf(conn, "POST /q/%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, queueHost, limit.Milliseconds(), len(body), body)
	is.NoErr(err)
	r.submissions[id] = &heldSubmission{conn: conn, expires: time.Now().Add(limit)}
}

func (r *frozenScript) readAnswer(id string) string {
	is := is.New(r.soak.t)
	conn := r.submissions[id].conn
	is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	return strconv.Itoa(answer.StatusCode)
}

func (r *frozenScript) configure(version string, p *siteProcess) {
	text := strings.Replace(restartConfiguration, `"version":1,`, `"version":`+version+`,`, 1)
	r.soak.await("version "+version, func() bool {
		status, _ := r.caller.call(http.MethodPost, p.control(), "/-/config/replace", text)
		return status == http.StatusOK
	})
}

func (r *frozenScript) read(count int, p *siteProcess, least int) {
	is := is.New(r.soak.t)
	for range count {
		conn, err := net.Dial("tcp", p.control())
		is.NoErr(err)
		r.soak.t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "GET /-/config/get HTTP/1.1\r\nHost: %s\r\n\r\n", p.control())
		is.NoErr(err)
		r.reads = append(r.reads, heldRead{conn: conn, least: least})
	}
}

// checkReads reads the answers; one that isn't a success promises nothing.
func (r *frozenScript) checkReads() {
	is := is.New(r.soak.t)
	statuses := map[int]int{}
	for _, read := range r.reads {
		is.NoErr(read.conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		answer, err := http.ReadResponse(bufio.NewReader(read.conn), nil)
		is.NoErr(err)
		var m struct {
			Version int `json:"version"`
		}
		if statuses[answer.StatusCode]++; answer.StatusCode == http.StatusOK {
			is.NoErr(json.NewDecoder(answer.Body).Decode(&m))
			if m.Version < read.least {
				r.soak.t.Errorf("version %d was read after version %d was acknowledged", m.Version, read.least)
			}
		}
		is.NoErr(answer.Body.Close())
	}
	r.soak.t.Logf("statuses of the reads: %v", statuses)
}

// callUntilClear makes a call on a job until its status is none of those without a clear outcome, and returns it with the job's
// state, if there is one.
func (r *frozenScript) callUntilClear(method, id string, p *siteProcess) string {
	var result string
	r.soak.await(method+" of "+id, func() bool {
		status, text := r.caller.call(method, p.callers(), "/q/"+id, "")
		state, _ := parseState(text) // Only a known job has one.
		result = strings.TrimSpace(fmt.Sprint(status, " ", state))
		return status == http.StatusOK || status == http.StatusGone
	})
	return result
}

func (r *frozenScript) awaitLine(p *siteProcess, event string) {
	r.soak.await(event, func() bool { return strings.Contains(strings.TrimPrefix(r.logOf(p), r.before), strconv.Quote(event)) })
}

func (r *frozenScript) logOf(p *siteProcess) string {
	text, err := os.ReadFile(p.log.Name())
	is.New(r.soak.t).NoErr(err)
	return string(text)
}

// killLeader kills the process that logged last that it took control, and starts it again once another one has.
func (r *frozenScript) killLeader() {
	leader := r.lastLeader()
	r.soak.stop(leader, syscall.SIGKILL)
	r.soak.await("another leader", func() bool { return r.lastLeader() != leader })
	r.soak.start(leader)
}

// lastLeader returns the process whose log has the latest line of taking control; terms rise.
func (r *frozenScript) lastLeader() *siteProcess {
	var leader *siteProcess
	latest := ""
	for _, p := range r.soak.processes {
		for line := range strings.Lines(r.logOf(p)) {
			if strings.Contains(line, `"control_taken"`) && line > latest {
				// The lines begin with level and time.
				latest, leader = line, p
			}
		}
	}
	return leader
}
