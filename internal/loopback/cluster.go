package loopback

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/config"
	"swiftledge/internal/peer"
	"swiftledge/internal/status"
	"swiftledge/wire"
)

// Cluster is a site with its controllers.
type Cluster struct {
	site        *site
	binary      string
	tuning      []string
	dir         string
	Controllers []*Controller
	client      *fasthttp.Client
}

// Controller is a controller process with the links that begin at it.
type Controller struct {
	Name, Serves, Back string
	Config             string // its settings file
	Dir                string // in which it runs
	State, Cloud       *Link
	Peers              map[string]*Link // to the other controllers
	cmd                *exec.Cmd
	ended              chan struct{}
}

func controllerName(i int) string { return "controller-" + strconv.Itoa(i) }

// Start starts a site in a directory of its own: the binary is the controller, tuning its settings files.
func Start(ctx context.Context, dir, binary string, shape Shape, tuning ...string) (*Cluster, error) {
	c := &Cluster{site: newSite(shape), dir: dir, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	var err error
	if c.binary, err = filepath.Abs(binary); err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	for _, file := range tuning {
		if file, err = filepath.Abs(file); err != nil {
			return nil, fmt.Errorf("loopback: %w", err)
		}
		c.tuning = append(c.tuning, file)
	}
	c.site.connect = c.connect
	context.AfterFunc(ctx, c.Stop)
	if err := c.lay(shape); err != nil {
		c.Stop()
		return nil, fmt.Errorf("loopback: %w", err)
	}
	go c.site.run()
	for _, k := range c.Controllers {
		err := c.Run(k)
		if err == nil {
			err = k.listens()
		}
		if err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// ErrEnded says that a controller's process has ended by itself.
var ErrEnded = errors.New("controller ended")

// startTime is how long a controller may take until it listens.
const startTime = 20 * time.Second

// listens waits until the controller listens.
func (k *Controller) listens() error {
	for end := time.Now().Add(startTime); time.Now().Before(end) && k.Alive(); time.Sleep(tickEvery) {
		if c, err := net.DialTimeout("tcp4", k.Serves, time.Second); err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("loopback: %w: %s, see its log", ErrEnded, k.Name)
}

// lay starts the stand-ins, and lays the links.
func (c *Cluster) lay(shape Shape) error {
	state, err := c.site.serve(c.site.stateService)
	if err != nil {
		return err
	}
	cloud, err := c.site.serve(c.site.cloudService)
	if err != nil {
		return err
	}
	for i := range shape.Controllers {
		k := &Controller{Name: controllerName(i), Config: filepath.Join(c.dir, controllerName(i)+".json"), Dir: filepath.Join(c.dir, controllerName(i)), Peers: map[string]*Link{}}
		if k.Serves, err = freeAddress(); err != nil {
			return err
		}
		if k.Back, err = freeAddress(); err != nil {
			return err
		}
		if k.State, err = newLink(state); err != nil {
			return err
		}
		if k.Cloud, err = newLink(cloud); err != nil {
			return err
		}
		c.Controllers = append(c.Controllers, k)
	}
	for _, k := range c.Controllers {
		for _, o := range c.Controllers {
			if o == k {
				continue
			}
			if k.Peers[o.Name], err = newLink(o.Back); err != nil {
				return err
			}
		}
		if err := c.writeConfig(k, shape); err != nil {
			return err
		}
	}
	return nil
}

// connect gives a new worker its address and its links to the controllers; it is up only then.
func (c *Cluster) connect(w *worker) error {
	address, err := c.site.serve(w.routes)
	if err != nil {
		return err
	}
	commands, err := newLink(address)
	if err != nil {
		return err
	}
	var links []*Link
	for _, k := range c.Controllers {
		link, err := newLink(k.Serves)
		if err != nil {
			return err
		}
		links = append(links, link)
	}
	c.site.do(func() {
		w.links, w.target = links, len(c.site.byName)%len(links)
		w.commands = commands
		w.Address, w.rented.Address = commands.listen, commands.listen
	})
	return nil
}

// ReportLink is the link from a worker to a controller, both by number; nil until the worker is up.
func (c *Cluster) ReportLink(worker, controller int) (l *Link) {
	c.site.do(func() {
		if worker < len(c.site.workers) && controller < len(c.site.workers[worker].links) {
			l = c.site.workers[worker].links[controller]
		}
	})
	return l
}

const (
	// leastPort and mostPort bound the ports that controllers listen on: below those from which the system
	// takes the near ends of connections, which would take a free one away.
	leastPort, mostPort = 10000, 30000
	// portTries is how many ports are tried.
	portTries = 100
)

// CommandLink is the link over which all controllers send direct commands to a worker; nil until it is up.
func (c *Cluster) CommandLink(worker int) (l *Link) {
	c.site.do(func() {
		if worker < len(c.site.workers) {
			l = c.site.workers[worker].commands
		}
	})
	return l
}

// freeAddress finds an address on loopback that nobody listens on.
func freeAddress() (string, error) {
	var err error
	for range portTries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(leastPort+rand.IntN(mostPort-leastPort)))
		var l net.Listener
		if l, err = net.Listen("tcp4", address); err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

// What a controller of the site has, and what the state service and the cloud take.
const (
	controllerCPU, controllerMB, controllerSockets = 0.2, 250, 1500
	stateRate, stateWrites, cloudRate, listLagS    = 200, 60, 5, 2
)

// writeConfig writes the platform's file for a controller.
func (c *Cluster) writeConfig(k *Controller, shape Shape) error {
	s := config.Settings{Name: k.Name, Zone: zone, ServeOn: k.Serves, Back: k.Back, Peers: []config.Peer{}}
	s.Endpoints.Cloud, s.Endpoints.State = k.Cloud.listen, k.State.listen
	for _, o := range c.Controllers {
		if o != k {
			s.Peers = append(s.Peers, config.Peer{Name: o.Name, Zone: zone, Address: k.Peers[o.Name].listen})
		}
	}
	f := &s.Facts
	f.InitialSize, f.Zones = shape.Controllers, []string{zone}
	for _, name := range shape.Teams {
		f.Teams = append(f.Teams, config.Team{Name: name, CPUs: shape.CPUsMax / 2, CPUsMax: shape.CPUsMax})
	}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = shape.ReportS, shape.LeaseS, shape.CancelS
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = stateRate, stateWrites, valueKB, txnOps
	f.Cloud.RPS, f.Cloud.ListLagS = cloudRate, listLagS
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = controllerCPU, controllerMB, controllerSockets
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(k.Config, raw, 0o600)
}

// Run starts a controller's process, which must not run yet.
func (c *Cluster) Run(k *Controller) error {
	args := []string{"--config", k.Config}
	for _, file := range c.tuning {
		args = append(args, "--settings", file)
	}
	// Each in a directory of its own, where it may write what its settings name.
	if err := os.MkdirAll(k.Dir, 0o700); err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(c.dir, k.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	k.cmd = exec.Command(c.binary, args...)
	k.cmd.Dir = k.Dir
	k.cmd.Stderr = log
	if err := k.cmd.Start(); err != nil {
		log.Close()
		return fmt.Errorf("loopback: %w", err)
	}
	k.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // a killed process ends with an error
		log.Close()
		close(ended)
	}(k.cmd, k.ended)
	return nil
}

// Kill ends a controller's process at once.
func (k *Controller) Kill() {
	if k.cmd != nil && k.cmd.Process != nil {
		k.cmd.Process.Kill()
		<-k.ended
	}
}

// Pause has a controller's process stand still while its clocks go on, until Resume.
func (k *Controller) Pause() error { return k.signal(syscall.SIGSTOP) }

// Resume lets a process go on that stands still.
func (k *Controller) Resume() error { return k.signal(syscall.SIGCONT) }

func (k *Controller) signal(s syscall.Signal) error {
	if err := k.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("loopback: %s: %w", k.Name, err)
	}
	return nil
}

// CPUSeconds is the processor time that the process has used.
func (k *Controller) CPUSeconds() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", k.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, ticksPerSecond = 11, 12, 100
	if len(fields) <= systemTime {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[userTime], 64)
	system, _ := strconv.ParseFloat(fields[systemTime], 64)
	return (user + system) / ticksPerSecond
}

// Stop ends all processes and stand-ins.
func (c *Cluster) Stop() {
	for _, k := range c.Controllers {
		k.Kill()
	}
	c.site.stop()
}

// Status asks every controller for its status, as an operator would.
func (c *Cluster) Status() []status.Controller {
	var all []status.Controller
	for _, k := range c.Controllers {
		all = append(all, status.Controller{Name: k.Name, Address: k.Back})
	}
	return status.AskEach(all)
}

// Leader is the controller that leads, with its status; nil while none does.
func (c *Cluster) Leader() (*Controller, peer.Status) {
	for i, row := range c.Status() {
		if row.Status != nil && row.Status.Leading {
			return c.Controllers[i], *row.Status
		}
	}
	return nil, peer.Status{}
}

// ErrRefused says that a submission was not accepted.
var ErrRefused = errors.New("not accepted")

// Submit submits a job at a controller, as its user; runS is how long its tasks really run. The first
// submission's time counts.
func (c *Cluster) Submit(k *Controller, j wire.Job, runS float64) error {
	return c.submit(k, j, jobRun{runS: runS})
}

// SubmitMistaken submits a job whose tasks fail on every machine.
func (c *Cluster) SubmitMistaken(k *Controller, j wire.Job) error {
	return c.submit(k, j, jobRun{mistaken: true})
}

func (c *Cluster) submit(k *Controller, j wire.Job, run jobRun) error {
	c.site.do(func() {
		if c.site.jobs[j.Ref] == nil {
			run.spec, run.submitted, run.ran = j, c.site.clock.Now(), map[int]int{}
			c.site.jobs[j.Ref] = &run
		}
	})
	raw, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fiber.MethodPost)
	req.SetRequestURI("http://" + k.Serves + "/api/jobs")
	req.SetBodyRaw(raw)
	if err := c.client.DoTimeout(req, res, 5*time.Second); err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	if code := res.StatusCode(); code != 200 && code != 201 {
		return fmt.Errorf("loopback: %w: %d %s", ErrRefused, code, res.Body())
	}
	return nil
}

// Cancel cancels a job at a controller; false without its answer.
func (c *Cluster) Cancel(k *Controller, ref string) bool {
	code, _, err := c.client.Post(nil, "http://"+k.Serves+"/api/jobs/"+ref+"/abort", nil)
	return err == nil && code == 200
}

// State asks a controller for a job's state; "" without an answer.
func (c *Cluster) State(k *Controller, ref string) wire.JobState {
	code, body, err := c.client.GetTimeout(nil, "http://"+k.Serves+"/api/jobs/"+ref, 2*time.Second)
	var s wire.JobStatus
	if err != nil || code != 200 || json.Unmarshal(body, &s) != nil {
		return ""
	}
	return s.State
}

// Ran says how many tasks of a job have completed, and how many of them more than once.
func (c *Cluster) Ran(ref string) (tasks, again int) {
	c.site.do(func() {
		for _, n := range c.site.jobs[ref].ran {
			tasks++
			if n > 1 {
				again++
			}
		}
	})
	return tasks, again
}

// EndWorker has a machine stop by itself.
func (c *Cluster) EndWorker(i int) {
	c.site.do(func() { c.site.workers[i].dead, c.site.workers[i].rented.Failed = true, true })
}

// Alive says whether the controller's process runs.
func (k *Controller) Alive() bool {
	select {
	case <-k.ended:
		return false
	default:
		return true
	}
}
