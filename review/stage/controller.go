package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"swiftledge/internal/config"
	"swiftledge/internal/peer"
)

// Controller is one controller of a site, a process of its own.
type Controller struct {
	Name, Address, PeerAddress string

	site     *Site
	settings string // the settings file
	process  *exec.Cmd
	exited   chan struct{}
}

// The ports of controllers lie below those that the system takes for outgoing connections.
const (
	minPort, maxPort = 10000, 30000
	maxPortTries     = 100
)

func freeAddress() (string, error) {
	for range maxPortTries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+rand.IntN(maxPort-minPort)))
		if listener, err := net.Listen("tcp4", address); err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func (s *Site) createControllers() error {
	for i := range s.Config.Controllers {
		c := &Controller{Name: fmt.Sprintf("drover-%d", i), site: s}
		var err error
		if c.Address, err = freeAddress(); err != nil {
			return err
		}
		if c.PeerAddress, err = freeAddress(); err != nil {
			return err
		}
		c.settings = filepath.Join(s.directory, c.Name+".json")
		s.Controllers = append(s.Controllers, c)
	}
	for _, c := range s.Controllers {
		if err := c.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the platform's file (DEPLOY).
func (c *Controller) writeSettings() error {
	cfg := c.site.Config
	settings := config.Settings{
		Name: c.Name, Zone: cfg.Zones[0], ListenAddress: c.Address, PeerAddress: c.PeerAddress, Peers: []config.Peer{},
	}
	for _, other := range c.site.Controllers {
		if other != c {
			settings.Peers = append(settings.Peers,
				config.Peer{Name: other.Name, Zone: cfg.Zones[0], Address: other.PeerAddress})
		}
	}
	settings.Endpoints.Cloud, settings.Endpoints.State = c.site.Cloud.Address, c.site.State.Address
	facts := &settings.Facts
	facts.InitialSize, facts.Zones, facts.Teams = cfg.Controllers, cfg.Zones, cfg.Teams
	facts.Objectives = []config.Objective{}
	facts.Workers.ReportS, facts.Workers.LeaseS, facts.Workers.CancelS = cfg.ReportS, cfg.LeaseS, cfg.CancelS
	facts.State.RPS, facts.State.WriteRPS = cfg.State.RPS, cfg.State.WriteRPS
	facts.State.ValueKB, facts.State.TxnOps = cfg.State.ValueKB, cfg.State.TxnOps
	facts.Cloud.RPS, facts.Cloud.ListLagS = cfg.CloudRPS, cfg.ListLagS
	facts.Quota.CPU, facts.Quota.MemMB, facts.Quota.MaxSockets = 0.096, cfg.MemMB, 1500
	facts.SkewMs = 250
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.settings, raw, 0o600)
}

// Start starts the process with the command of the deploy file, in the repository's root.
func (c *Controller) Start() error {
	log, err := os.OpenFile(filepath.Join(c.site.directory, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.process = exec.Command("target/swiftledge", "--settings", "deploy/swiftledge.yaml", "--config", c.settings)
	c.process.Stderr = log
	if err := c.process.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	c.site.Record.Printf("%s: started, process %d", c.Name, c.process.Process.Pid)
	c.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		err := process.Wait()
		c.site.Record.Printf("%s: process %d ended: %v", c.Name, process.Process.Pid, err)
		_ = log.Close() // only the process wrote to it
		close(exited)
	}(c.process, c.exited)
	return nil
}

// IsRunning reports whether the process runs.
func (c *Controller) IsRunning() bool {
	if c.process == nil {
		return false
	}
	select {
	case <-c.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process without a warning, and returns when it has ended.
func (c *Controller) Kill() {
	if c.IsRunning() {
		_ = c.process.Process.Kill() // fails only if it has ended
		<-c.exited
	}
}

// WaitUntilReady waits until the controller answers, at most for the given time.
func (c *Controller) WaitUntilReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := client.Get("http://" + c.Address + "/ready"); err == nil {
			_ = response.Body.Close() // nothing is read
			return true
		}
	}
	return false
}

// CopyLog appends the last bytes of the controller's log to the record.
func (c *Controller) CopyLog(most int) {
	raw, err := os.ReadFile(filepath.Join(c.site.directory, c.Name+".log"))
	if err != nil {
		return
	}
	if len(raw) > most {
		raw = raw[len(raw)-most:]
	}
	c.site.Record.Printf("log of %s:\n%s", c.Name, raw)
}

// Follower returns a controller that does not lead, or nil if none tells that it leads.
func (s *Site) Follower() (follower *Controller) {
	leads := false
	for _, c := range s.Controllers {
		answer, err := peer.FetchStatus(c.PeerAddress)
		if err != nil {
			return nil
		}
		if answer.IsLeader {
			leads = true
		} else {
			follower = c
		}
	}
	if !leads {
		return nil
	}
	return follower
}
