package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a radishmastd process.
type process struct {
	command *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	log    *os.File
}

// startProcess starts radishmastd in a role. It writes the settings to NAME.json in the
// directory and appends the output to NAME.log. The kernel kills the process when its
// parent thread exits.
func startProcess(binary, role, directory, name string, settings any) (*process, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings of %s: %w", name, err)
	}
	config := filepath.Join(directory, name+".json")
	if err := os.WriteFile(config, data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", name, err)
	}
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	p := &process{command: exec.Command(binary, role, "--config", config), exited: make(chan struct{}), log: log}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	go p.wait()
	return p, nil
}

// wait waits until the process has exited and closes its log.
func (p *process) wait() {
	// The exit status isn't needed: the log shows why the process exited.
	_ = p.command.Wait()
	_ = p.log.Close()
	close(p.exited)
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) error {
	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal process %d: %w", p.command.Process.Pid, err)
	}
	return nil
}

// waitFor waits for the process to exit and reports whether it did within the timeout.
// With zero it reports whether the process has exited already.
func (p *process) waitFor(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
