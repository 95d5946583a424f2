// Package demo runs the whole system as processes on loopback addresses: the
// stand-in, three entry instances, an operator's publication, callers and batch
// jobs. It kills one instance and stops another during the run and checks that
// every guarantee held. The command lacewingfork-demo starts it.
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

// stopTimeout bounds the wait for a process to end after SIGTERM.
const stopTimeout = 30 * time.Second

// process is one process that the demo started.
type process struct {
	name    string
	cmd     *exec.Cmd
	ended   chan error                 // result of Wait; each receiver puts it back for the next one
	ready   map[string]json.RawMessage // fields of the ready line
	logFile *os.File
}

// start runs a program from bin and reads its ready line, the JSON object that
// it prints once it is ready. Standard error goes to a file in work.
func start(bin, work, name, program string, arguments ...string) (*process, error) {
	logFile, err := os.OpenFile(filepath.Join(work, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	p := &process{
		name: name, cmd: exec.Command(filepath.Join(bin, program), arguments...),
		ended: make(chan error, 1), logFile: logFile,
	}
	p.cmd.Stderr = logFile
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open standard output pipe")
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

// readyField returns a string field of the ready line, or "" if it is absent.
func (p *process) readyField(field string) string {
	var s string
	_ = json.Unmarshal(p.ready[field], &s)
	return s
}

// kill ends the process with SIGKILL, to simulate a crash, and waits for it.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	p.ended <- <-p.ended
}

// stop sends SIGTERM and waits for a graceful end.
func (p *process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "signal %s", p.name)
	}
	select {
	case err := <-p.ended:
		p.ended <- err
		if err != nil {
			return errors.Wrapf(err, "%s did not stop gracefully", p.name)
		}
		return nil
	case <-time.After(stopTimeout):
		p.kill()
		return errors.Errorf("%s did not end within %s of SIGTERM", p.name, stopTimeout)
	}
}
