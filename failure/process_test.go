package failure

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"text/template"
)

// leaseTTL is that of instanceSettings.
const leaseTTL = "2s"

// instanceSettings have a shorter lease than the default, so that a takeover
// takes less of the tests' time; the targets are the same.
var instanceSettings = template.Must(template.New("instance").Parse(`[instance]
id = "{{.ID}}"
region = "accra"
data_centre = "{{.DataCentre}}"
[listen]
callers = "{{.Callers}}"
peers = "{{.Peers}}"
operations = "{{.Operations}}"
[platform]
log = "http://{{.Platform}}"
list = "http://{{.Platform}}"
workers = "http://{{.Platform}}"
[lease]
ttl = "` + leaseTTL + `"
list_lag = "1s"
list_age = "1500ms"
margin = "100ms"
[process]
stop_timeout = "20s"
`))

// instance is an entry instance. Its addresses stay the same when its process
// is replaced.
type instance struct {
	ID, DataCentre, Platform   string
	Callers, Peers, Operations string
	logFile                    string
	cmd                        *exec.Cmd
	ended                      chan struct{} // closed when the process has ended
}

// run starts the process and waits until its sockets are open.
func (i *instance) run(t *testing.T, dir string) {
	t.Helper()
	var text strings.Builder
	if err := instanceSettings.Execute(&text, i); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, i.ID+".toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	i.logFile = filepath.Join(dir, i.ID+".log")
	stderr, err := os.OpenFile(i.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stderr.Close() }()
	i.cmd = exec.Command(filepath.Join(programs, "lacewingfork-entry"), "--settings", path)
	i.cmd.Stderr = stderr
	// A test binary that is ended by its timeout runs no cleanup.
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := i.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := i.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, ended := i.cmd, make(chan struct{})
	i.ended = ended
	reader := bufio.NewReader(stdout)
	line, readErr := reader.ReadBytes('\n')
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		_ = cmd.Wait()
		close(ended)
	}()
	t.Cleanup(func() { _ = cmd.Process.Kill(); <-ended })
	var ready struct{ Callers, Peers, Operations string }
	if readErr != nil || json.Unmarshal(line, &ready) != nil {
		t.Fatalf("%s printed no ready line: %q, %v\n%s", i.ID, line, readErr, i.logTail())
	}
	i.Callers, i.Peers, i.Operations = ready.Callers, ready.Peers, ready.Operations
}

func (i *instance) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := i.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", i.ID, err)
	}
}

func (i *instance) kill(t *testing.T) {
	t.Helper()
	i.signal(t, os.Kill)
	<-i.ended
}

// logTail returns the last lines that the process wrote.
func (i *instance) logTail() string {
	const kept = 4 << 10
	data, _ := os.ReadFile(i.logFile)
	return string(data[max(0, len(data)-kept):])
}
