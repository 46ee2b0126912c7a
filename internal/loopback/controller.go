package loopback

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Controller is a controller process with its addresses, its files and its outgoing links.
type Controller struct {
	Name         string
	ServeAddress string // address at which it listens for users and agents
	PeerAddress  string // address at which it listens for other controllers and operators
	SettingsFile string
	WorkDir      string // working directory of the process
	StoreLink    *Link
	CloudLink    *Link
	PeerLinks    map[string]*Link // links to the other controllers, by controller name

	binary  string
	args    []string
	logFile string

	mu      sync.Mutex
	process *process // the process that was started last
}

// process is a controller's process, which may have exited.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// ErrProcessExited reports that a controller's process exited unexpectedly.
var ErrProcessExited = errors.New("controller process exited")

// errNotStarted reports that a controller's process was never started.
var errNotStarted = errors.New("controller process was not started")

const (
	// startTimeout bounds the time from the start of a controller until it listens.
	startTimeout = 20 * time.Second
	// dialTimeout bounds one connection attempt.
	dialTimeout = time.Second
)

func controllerName(i int) string { return "controller-" + strconv.Itoa(i) }

// Start starts the controller's process. It must not be called while the process runs.
func (c *Controller) Start() error {
	logFile, err := os.OpenFile(c.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", c.Name, err)
	}
	cmd := exec.Command(c.binary, c.args...)
	cmd.Dir = c.WorkDir
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", c.Name, err), logFile.Close())
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go p.waitForExit(logFile)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process = p
	return nil
}

// waitForExit waits until the process has exited and then closes p.exited, for which Kill waits.
func (p *process) waitForExit(logFile *os.File) {
	defer close(p.exited)
	_ = p.cmd.Wait()    // returns an error for a killed process
	_ = logFile.Close() // only the child process wrote to the file
}

// currentProcess returns the process that was started last, or nil if none was started.
func (c *Controller) currentProcess() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process
}

// waitUntilListening waits until the controller accepts connections at its serve address. It fails when the process
// exits or after startTimeout.
func (c *Controller) waitUntilListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	retry := time.NewTicker(tickInterval)
	defer retry.Stop()
	for c.IsRunning() {
		if connection, err := net.DialTimeout("tcp4", c.ServeAddress, dialTimeout); err == nil {
			return connection.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until %s listens: %w, see its log", c.Name, ctx.Err())
		case <-retry.C:
		}
	}
	return fmt.Errorf("%w: %s, see its log", ErrProcessExited, c.Name)
}

// IsRunning reports whether the controller's process runs. A paused process counts as running.
func (c *Controller) IsRunning() bool {
	p := c.currentProcess()
	if p == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill kills the controller's process with SIGKILL and returns when it has exited.
func (c *Controller) Kill() {
	if p := c.currentProcess(); p != nil {
		_ = p.cmd.Process.Kill() // fails only if the process has exited
		<-p.exited
	}
}

// Pause suspends the controller's process with SIGSTOP until Resume. The process's clocks continue to run.
func (c *Controller) Pause() error { return c.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (c *Controller) Resume() error { return c.signal(syscall.SIGCONT) }

func (c *Controller) signal(s syscall.Signal) error {
	p := c.currentProcess()
	if p == nil {
		return fmt.Errorf("loopback: send signal to %s: %w", c.Name, errNotStarted)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("loopback: send signal to %s: %w", c.Name, err)
	}
	return nil
}

// Indexes of the fields in /proc/PID/stat after the command name, and the unit of their values.
const (
	statUserTimeField   = 11
	statSystemTimeField = 12
	clockTicksPerSecond = 100
)

// CPUSeconds returns the CPU time that the process has used, or 0 if it has exited or was not started.
func (c *Controller) CPUSeconds() float64 {
	p := c.currentProcess()
	if p == nil {
		return 0
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= statSystemTimeField {
		return 0
	}
	user, userErr := strconv.ParseFloat(fields[statUserTimeField], 64)
	system, systemErr := strconv.ParseFloat(fields[statSystemTimeField], 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return (user + system) / clockTicksPerSecond
}
