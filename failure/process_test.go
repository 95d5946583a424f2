package failure

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/demo"
)

const (
	// patience bounds the wait for a condition on a busy machine. Targets are
	// asserted on their own and are shorter.
	patience = 60 * time.Second
	// pollEvery paces the check of a condition.
	pollEvery = 25 * time.Millisecond
	// sitesAtOnce bounds the deployments that run at the same time.
	sitesAtOnce = 3
)

var (
	// programs is the directory with the built programs.
	programs string
	running  = make(chan struct{}, sitesAtOnce)
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lacewingfork-failure-")
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := exec.Command("go", "build", "-o", dir+string(os.PathSeparator), "../cmd/lacewingfork-entry", "../cmd/lacewingfork").CombinedOutput()
	if err != nil {
		log.Panicf("build the programs: %v\n%s", err, out) // removes the directory, unlike an exit
	}
	programs = dir
	m.Run()
}

// must ends the test when a step of its own fails.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// await polls a condition; what says in words what is missing.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			t.Fatalf("after %v still missing: %s", patience, what)
		}
	}
}

const (
	anyPort = "127.0.0.1:0" // the kernel chooses
	keptLog = 4 << 10       // bytes that are shown of a log
)

// instance is an entry instance. Its addresses stay the same when its process
// is replaced.
type instance struct {
	ID, DataCentre, Platform   string
	Callers, Peers, Operations string
	cmd                        *exec.Cmd
	ended                      chan struct{} // closed when the process has ended
}

// run starts the process and waits until its sockets are open.
func (i *instance) run(t *testing.T, dir string) {
	t.Helper()
	path := filepath.Join(dir, i.ID+".toml")
	must(t, demo.InstanceSettings{
		ID: i.ID, Region: "accra", DataCentre: i.DataCentre,
		Callers: i.Callers, Peers: i.Peers, Operations: i.Operations, Platform: i.Platform,
	}.Write(path))
	var written bytes.Buffer
	i.cmd = exec.Command(filepath.Join(programs, "lacewingfork-entry"), "--settings", path)
	i.cmd.Stderr = &written
	// A test binary that is ended by its timeout runs no cleanup.
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := i.cmd.StdoutPipe()
	must(t, err)
	must(t, i.cmd.Start())
	cmd, ended := i.cmd, make(chan struct{})
	i.ended = ended
	reader := bufio.NewReader(stdout)
	line, readErr := reader.ReadBytes('\n')
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		_ = cmd.Wait()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-ended
		if t.Failed() {
			t.Logf("log of %s:\n%s", i.ID, written.Bytes()[max(0, written.Len()-keptLog):])
		}
	})
	var ready struct{ Callers, Peers, Operations string }
	if readErr != nil || json.Unmarshal(line, &ready) != nil {
		t.Fatalf("%s printed no ready line: %q, %v", i.ID, line, readErr)
	}
	if i.Operations == anyPort { // a replacement has the addresses already, which others read
		i.Callers, i.Peers, i.Operations = ready.Callers, ready.Peers, ready.Operations
	}
}

// signal waits for the end of the process where the signal asks for it.
func (i *instance) signal(t *testing.T, s os.Signal) {
	t.Helper()
	must(t, i.cmd.Process.Signal(s))
	if s != syscall.SIGSTOP && s != syscall.SIGCONT {
		<-i.ended
	}
}
