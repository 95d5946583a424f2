// Package demo runs the whole system as processes on loopback addresses: the
// stand-in, three entry instances, an operator's publication, callers and batch
// jobs. It kills one instance and stops another on the way and checks that
// every promise held. The command lacewingfork-demo starts it.
package demo

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// stopWait bounds the wait for a process to end after a signal.
const stopWait = 30 * time.Second

// process is one process that the demo started.
type process struct {
	name   string
	cmd    *exec.Cmd
	ended  chan error
	ready  map[string]json.RawMessage // the line that it printed when ready
	logger *os.File
}

// start runs a program of the bin directory and reads its ready line. Standard
// error goes to a file in the work directory.
func start(bin, work, name, program string, arguments ...string) (*process, error) {
	logFile, err := os.OpenFile(filepath.Join(work, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	p := &process{
		name: name, cmd: exec.Command(filepath.Join(bin, program), arguments...),
		ended: make(chan error, 1), logger: logFile,
	}
	p.cmd.Stderr = logFile
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "pipe")
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	reader := bufio.NewReader(stdout)
	line, err := reader.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &p.ready)
	}
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		p.ended <- p.cmd.Wait()
		_ = logFile.Close()
	}()
	if err != nil {
		p.kill()
		return nil, errors.Wrapf(err, "%s printed no ready line; see %s", name, logFile.Name())
	}
	return p, nil
}

// text returns a text field of the ready line.
func (p *process) text(field string) string {
	var s string
	_ = json.Unmarshal(p.ready[field], &s)
	return s
}

// kill ends the process at once, as a failing instance does.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	p.ended <- <-p.ended
}

// stop asks the process to end and waits for it.
func (p *process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "signal %s", p.name)
	}
	select {
	case err := <-p.ended:
		p.ended <- err
		if err != nil {
			return errors.Wrapf(err, "%s did not end in order", p.name)
		}
		return nil
	case <-time.After(stopWait):
		p.kill()
		return errors.Errorf("%s did not end within %s", p.name, stopWait)
	}
}
