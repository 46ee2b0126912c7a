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

// Controller is a controller process with the links that begin at it.
type Controller struct {
	Name         string
	ServeAddress string // for users and workers
	PeerAddress  string // for other controllers and operators
	SettingsFile string
	WorkDir      string // in which it runs
	StoreLink    *Link
	CloudLink    *Link
	PeerLinks    map[string]*Link // to the other controllers

	binary  string
	args    []string
	logFile string

	mu      sync.Mutex
	process *process // the last one that was started
}

// process is a running or ended process of a controller.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// ErrProcessExited says that a controller's process has ended by itself.
var ErrProcessExited = errors.New("controller ended")

// errNotStarted says that a controller was never started.
var errNotStarted = errors.New("controller was not started")

const (
	// startTimeout is how long a controller may take until it listens.
	startTimeout = 20 * time.Second
	// dialTimeout is how long one try may take.
	dialTimeout = time.Second
)

func controllerName(i int) string { return "controller-" + strconv.Itoa(i) }

// Start starts the controller's process, which must not run yet.
func (k *Controller) Start() error {
	log, err := os.OpenFile(k.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", k.Name, err)
	}
	command := exec.Command(k.binary, k.args...)
	command.Dir = k.WorkDir
	command.Stderr = log
	if err := command.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", k.Name, err), log.Close())
	}
	p := &process{cmd: command, exited: make(chan struct{})}
	go p.waitForExit(log)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.process = p
	return nil
}

// waitForExit notes the end of the process; Kill awaits it.
func (p *process) waitForExit(log *os.File) {
	defer close(p.exited)
	_ = p.cmd.Wait() // a killed process ends with an error
	_ = log.Close()  // the process wrote to it, this program did not
}

// currentProcess is the process that was started last; nil: none was.
func (k *Controller) currentProcess() *process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.process
}

// waitUntilListening waits until the controller listens.
func (k *Controller) waitUntilListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	retry := time.NewTicker(tickInterval)
	defer retry.Stop()
	for k.IsRunning() {
		if c, err := net.DialTimeout("tcp4", k.ServeAddress, dialTimeout); err == nil {
			return c.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s does not listen: %w, see its log", k.Name, ctx.Err())
		case <-retry.C:
		}
	}
	return fmt.Errorf("%w: %s, see its log", ErrProcessExited, k.Name)
}

// IsRunning says whether the controller's process runs.
func (k *Controller) IsRunning() bool {
	p := k.currentProcess()
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

// Kill ends the controller's process at once, and returns when it has ended.
func (k *Controller) Kill() {
	if p := k.currentProcess(); p != nil {
		_ = p.cmd.Process.Kill() // fails only if the process has ended
		<-p.exited
	}
}

// Pause stops the controller's process while its clocks go on, until Resume.
func (k *Controller) Pause() error { return k.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (k *Controller) Resume() error { return k.signal(syscall.SIGCONT) }

func (k *Controller) signal(s syscall.Signal) error {
	p := k.currentProcess()
	if p == nil {
		return fmt.Errorf("loopback: %s: %w", k.Name, errNotStarted)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("loopback: %s: %w", k.Name, err)
	}
	return nil
}

// Fields of /proc/PID/stat after the command's name, and their unit.
const (
	statUserTimeField   = 11
	statSystemTimeField = 12
	clockTicksPerSecond = 100
)

// CPUSeconds is the processor time that the process has used; 0 once it has ended.
func (k *Controller) CPUSeconds() float64 {
	p := k.currentProcess()
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
