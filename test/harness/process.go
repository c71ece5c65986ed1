// Package harness runs whole fleets of slateway processes on one machine, for tests
// and experiments only. It builds the programs, writes their settings, starts them on
// their own loopback addresses, and kills, freezes and terminates them by process ID.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a program that this package started.
type Process struct {
	Name    string
	LogFile string // standard output and standard error

	command *exec.Cmd
	done    chan struct{} // closed once the process has exited
}

// Start starts a program. Its output is appended to NAME.log in folder.
func Start(name, folder, program string, args ...string) (*Process, error) {
	logName := filepath.Join(folder, name+".log")
	log, err := os.OpenFile(logName, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(program, args...)
	command.Stdout = log
	command.Stderr = log
	// The process must not outlive a test run that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	process := &Process{Name: name, LogFile: logName, command: command, done: make(chan struct{})}
	go func() {
		defer close(process.done)
		_ = command.Wait()
	}()
	return process, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill kills the process, which simulates the loss of its VM, and waits until it has
// exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which asks the process to shut down gracefully.
func (p *Process) Terminate() error { return p.command.Process.Signal(syscall.SIGTERM) }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ExitCode waits until the process has exited and returns its exit code, or -1 if a
// signal killed it.
func (p *Process) ExitCode(timeout time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s is still running after %s", p.Name, timeout)
	}
}

// LogTail returns the last bytes of the process's output, at most limit.
func (p *Process) LogTail(limit int) string {
	content, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(content[max(len(content)-limit, 0):])
}
