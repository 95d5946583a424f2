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
	// conditionTimeout bounds the wait for a condition on a busy machine. The
	// targets are shorter and asserted separately.
	conditionTimeout = 60 * time.Second
	// pollInterval is the time between checks of a condition.
	pollInterval = 25 * time.Millisecond
	// maxDeployments bounds the deployments that run concurrently.
	maxDeployments = 3
)

var (
	// binDir is the directory of the built programs.
	binDir string
	// deploymentSlots is a semaphore that limits the running deployments.
	deploymentSlots = make(chan struct{}, maxDeployments)
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lacewingfork-failure-")
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := exec.Command("go", "build", "-o", dir+string(os.PathSeparator), "../cmd/lacewingfork-entry", "../cmd/lacewingfork").CombinedOutput()
	if err != nil {
		log.Panicf("build the programs: %v\n%s", err, out) // unlike Fatalf, runs the deferred removal of the directory
	}
	binDir = dir
	m.Run()
}

// must fails the test immediately if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// await polls a condition and fails the test after conditionTimeout. The failure
// message names what was awaited.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", conditionTimeout, what)
		}
	}
}

const (
	anyPort      = "127.0.0.1:0" // the kernel chooses the port
	logTailBytes = 4 << 10       // bytes of a log shown after a failure
)

// instance is an entry instance. A replacement of its process uses the same
// addresses.
type instance struct {
	ID, DataCentre, Platform   string
	Callers, Peers, Operations string
	cmd                        *exec.Cmd
	ended                      chan struct{} // closed when the process has ended
}

// run starts the process and waits for its ready line, printed once its sockets
// are open.
func (i *instance) run(t *testing.T, dir string) {
	t.Helper()
	path := filepath.Join(dir, i.ID+".toml")
	must(t, demo.InstanceSettings{
		ID: i.ID, Region: "accra", DataCentre: i.DataCentre,
		Callers: i.Callers, Peers: i.Peers, Operations: i.Operations, Platform: i.Platform,
	}.Write(path))
	var written bytes.Buffer
	i.cmd = exec.Command(filepath.Join(binDir, "lacewingfork-entry"), "--settings", path)
	i.cmd.Stderr = &written
	// A test binary that exceeds its timeout runs no cleanup.
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
			t.Logf("log of %s:\n%s", i.ID, written.Bytes()[max(0, written.Len()-logTailBytes):])
		}
	})
	var ready struct{ Callers, Peers, Operations string }
	if readErr != nil || json.Unmarshal(line, &ready) != nil {
		t.Fatalf("%s: got first line %q and error %v, want a ready line", i.ID, line, readErr)
	}
	if i.Operations == anyPort { // a replacement keeps its addresses, which other goroutines read
		i.Callers, i.Peers, i.Operations = ready.Callers, ready.Peers, ready.Operations
	}
}

// signal sends a signal to the process. Unless it is SIGSTOP or SIGCONT, signal
// waits until the process has ended.
func (i *instance) signal(t *testing.T, s os.Signal) {
	t.Helper()
	must(t, i.cmd.Process.Signal(s))
	if s != syscall.SIGSTOP && s != syscall.SIGCONT {
		<-i.ended
	}
}
