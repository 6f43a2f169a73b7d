// Package procs starts the system and its stand-ins as separate processes on
// loopback addresses, for the demo, benchmarks and failure tests.
package procs

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	mn "mustardnotch"
)

// Build compiles the module's programs into dir.
func Build(dir string) error {
	out, err := exec.Command("go", "build", "-o", dir+"/", "mustardnotch/cmd/...").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}

// Proc is a process started by Start.
type Proc struct {
	Name string
	// LogFile is the path of the file with its output.
	LogFile string

	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	err  error
}

// Start runs the program bin with args and appends its output to dir/name.log.
func Start(dir, name, bin string, args ...string) (*Proc, error) {
	p := &Proc{Name: name, LogFile: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd = exec.Command(bin, args...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.reap()
	return p, nil
}

func (p *Proc) reap() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// PeakMemory returns the most memory that the process has taken so far, in bytes.
func (p *Proc) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscanf(rest, "%d kB", &kilobytes); err != nil {
		return 0, fmt.Errorf("peak memory of %s: %w", p.Name, err)
	}
	return kilobytes << 10, nil
}

// Running reports whether the process has not exited yet.
func (p *Proc) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the process to exit and returns its exit code.
func (p *Proc) Wait(timeout mn.Millis) (int, error) {
	select {
	case <-p.done:
	case <-time.After(timeout.Duration()):
		return 0, fmt.Errorf("%s is still running after %d ms", p.Name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var exit *exec.ExitError
	if p.err != nil && !errors.As(p.err, &exit) {
		return 0, p.err
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// Kill sends SIGKILL, which also ends a paused process, and waits until the process
// has exited.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause suspends the process until Resume.
func (p *Proc) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Proc) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, on which the process shuts down gracefully.
func (p *Proc) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Tail returns the last n bytes of the process's output.
func (p *Proc) Tail(n int) string {
	b, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	if len(b) > n {
		b = b[len(b)-n:]
	}
	return string(b)
}
