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
	Dir          string // in which it runs
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
	command *exec.Cmd
	ended   chan struct{}
}

// ErrEnded says that a controller's process has ended by itself.
var ErrEnded = errors.New("controller ended")

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
	command.Dir = k.Dir
	command.Stderr = log
	if err := command.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", k.Name, err), log.Close())
	}
	p := &process{command: command, ended: make(chan struct{})}
	go p.wait(log)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.process = p
	return nil
}

// wait notes the end of the process; Kill awaits it.
func (p *process) wait(log *os.File) {
	defer close(p.ended)
	_ = p.command.Wait() // a killed process ends with an error
	_ = log.Close()      // the process wrote to it, this program did not
}

// current is the process that was started last; nil: none was.
func (k *Controller) current() *process {
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
	return fmt.Errorf("%w: %s, see its log", ErrEnded, k.Name)
}

// IsRunning says whether the controller's process runs.
func (k *Controller) IsRunning() bool {
	p := k.current()
	if p == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the controller's process at once, and returns when it has ended.
func (k *Controller) Kill() {
	if p := k.current(); p != nil {
		_ = p.command.Process.Kill() // fails only if the process has ended
		<-p.ended
	}
}

// Pause stops the controller's process while its clocks go on, until Resume.
func (k *Controller) Pause() error { return k.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (k *Controller) Resume() error { return k.signal(syscall.SIGCONT) }

func (k *Controller) signal(s syscall.Signal) error {
	p := k.current()
	if p == nil {
		return fmt.Errorf("loopback: %s: %w", k.Name, errNotStarted)
	}
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("loopback: %s: %w", k.Name, err)
	}
	return nil
}

// Fields of /proc/PID/stat after the command's name, and their unit.
const (
	statUserTime   = 11
	statSystemTime = 12
	ticksPerSecond = 100
)

// CPUSeconds is the processor time that the process has used; 0 once it has ended.
func (k *Controller) CPUSeconds() float64 {
	p := k.current()
	if p == nil {
		return 0
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= statSystemTime {
		return 0
	}
	user, userErr := strconv.ParseFloat(fields[statUserTime], 64)
	system, systemErr := strconv.ParseFloat(fields[statSystemTime], 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return (user + system) / ticksPerSecond
}
