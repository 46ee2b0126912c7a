package site

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Controller is one controller and its process.
type Controller struct {
	Name         string
	ServeAddress string
	PeerAddress  string

	site         *Site
	settingsFile string
	storeAddress string

	mu          sync.Mutex
	process     *os.Process // nil while it does not run
	mayRun      bool        // false once the site is being stopped
	memoryKills int         // how often the platform ended it for its memory
	ownEnds     int         // how often it ended by itself
}

// start starts the process with the command of the deploy file. The caller holds the lock.
func (c *Controller) start() error {
	log, err := os.OpenFile(filepath.Join(c.site.dir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/swiftledge", "--settings", "deploy/swiftledge.yaml", "--config", c.settingsFile)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL=debug")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	c.process = command.Process
	c.site.record.Logf("%s: process %d started", c.Name, command.Process.Pid)
	go c.await(command, log)
	return nil
}

// await waits for the end of the process and starts it again after the restart delay, as the platform does.
func (c *Controller) await(command *exec.Cmd, log *os.File) {
	err := command.Wait()
	_ = log.Close() // only the process wrote to it
	c.mu.Lock()
	c.process = nil
	killed := strings.Contains(fmt.Sprint(err), "killed")
	if !killed && c.mayRun {
		c.ownEnds++
	}
	c.mu.Unlock()
	c.site.record.Logf("%s: process %d ended: %v", c.Name, command.Process.Pid, err)
	time.Sleep(c.site.options.RestartDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mayRun && c.process == nil {
		if err := c.start(); err != nil {
			c.site.record.Logf("%s: cannot start: %v", c.Name, err)
		}
	}
}

// Ends returns how often the platform ended the process for its memory, and how often it ended by itself.
func (c *Controller) Ends() (memoryKills, ownEnds int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memoryKills, c.ownEnds
}

// stop ends the process for good.
func (c *Controller) stop() {
	c.mu.Lock()
	c.mayRun = false
	process := c.process
	c.mu.Unlock()
	if process != nil {
		_ = process.Kill() // fails only if the process has just ended
	}
}

// limitMemory ends the process when it is over the limit, as the platform does.
func (c *Controller) limitMemory(limitMB float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return
	}
	if usedMB := residentMB(c.process.Pid); usedMB > limitMB {
		c.memoryKills++
		c.site.record.Logf("%s: process %d holds %.0f MB, over the limit of %.0f MB: the platform ends it",
			c.Name, c.process.Pid, usedMB, limitMB)
		_ = c.process.Kill() // fails only if the process has just ended
	}
}

// residentMB returns the anonymous memory that a process holds: its resident memory without files that are mapped.
func residentMB(pid int) float64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}
