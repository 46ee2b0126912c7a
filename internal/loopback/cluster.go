package loopback

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/valyala/fasthttp"
)

// Cluster is a set of real controllers with the environment of fakes that they run in.
type Cluster struct {
	Controllers []*Controller

	env      *environment
	client   *fasthttp.Client
	stopOnce func() // stops all controllers and fakes on its first call, and returns when they have ended
}

// Start starts a cluster whose files are in dir. The binary is the controller's executable, and settingsFiles are
// passed to each controller. The cluster runs until ctx is cancelled or Stop is called.
func Start(ctx context.Context, dir, binary string, config ClusterConfig, settingsFiles ...string) (*Cluster, error) {
	c := &Cluster{env: newEnvironment(config), client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	c.stopOnce = sync.OnceFunc(c.stopAll)
	err := c.createControllers(dir, binary, settingsFiles)
	if err == nil {
		err = c.connectControllers()
	}
	if err == nil {
		c.env.start(c.connectMachine)
		err = c.startControllers(ctx)
	}
	if err != nil {
		c.Stop()
		return nil, fmt.Errorf("loopback: start cluster: %w", err)
	}
	context.AfterFunc(ctx, c.Stop)
	return c, nil
}

// Stop stops all controllers and fakes, and returns when they have ended.
func (c *Cluster) Stop() { c.stopOnce() }

func (c *Cluster) stopAll() {
	for _, controller := range c.Controllers {
		controller.Kill()
	}
	c.env.stop()
}

// createControllers creates the Controller values without starting their processes. Each controller gets its own
// working directory, where it writes the files that its settings name.
func (c *Cluster) createControllers(dir, binary string, settingsFiles []string) error {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	var settingsArgs []string
	for _, file := range settingsFiles {
		if file, err = filepath.Abs(file); err != nil {
			return err
		}
		settingsArgs = append(settingsArgs, "--settings", file)
	}
	for i := range c.env.config.Controllers {
		name := controllerName(i)
		controller := &Controller{
			Name:         name,
			SettingsFile: filepath.Join(dir, name+".json"),
			WorkDir:      filepath.Join(dir, name),
			PeerLinks:    map[string]*Link{},
			logFile:      filepath.Join(dir, name+".log"),
			binary:       binary,
		}
		controller.args = append([]string{"--config", controller.SettingsFile}, settingsArgs...)
		if err := os.MkdirAll(controller.WorkDir, 0o700); err != nil {
			return err
		}
		c.Controllers = append(c.Controllers, controller)
	}
	return nil
}

// connectControllers starts the state service and the cloud, opens the controllers' links to them and between the
// controllers, and writes the controllers' settings files.
func (c *Cluster) connectControllers() error {
	storeAddress, err := c.env.serve(c.env.storeRoutes)
	if err != nil {
		return err
	}
	cloudAddress, err := c.env.serve(c.env.cloudRoutes)
	if err != nil {
		return err
	}
	for _, controller := range c.Controllers {
		if controller.ServeAddress, err = freeAddress(); err != nil {
			return err
		}
		if controller.PeerAddress, err = freeAddress(); err != nil {
			return err
		}
		if controller.StoreLink, err = c.env.openLink(storeAddress); err != nil {
			return err
		}
		if controller.CloudLink, err = c.env.openLink(cloudAddress); err != nil {
			return err
		}
	}
	for _, controller := range c.Controllers {
		if err := c.connectPeers(controller); err != nil {
			return err
		}
		if err := c.writeSettings(controller); err != nil {
			return err
		}
	}
	return nil
}

// connectPeers opens the links from one controller to all others.
func (c *Cluster) connectPeers(from *Controller) error {
	for _, to := range c.Controllers {
		if to == from {
			continue
		}
		link, err := c.env.openLink(to.PeerAddress)
		if err != nil {
			return err
		}
		from.PeerLinks[to.Name] = link
	}
	return nil
}

// startControllers starts the controllers in order. It waits until a controller listens before it starts the next one.
func (c *Cluster) startControllers(ctx context.Context) error {
	for _, controller := range c.Controllers {
		if err := controller.Start(); err != nil {
			return err
		}
		if err := controller.waitUntilListening(ctx); err != nil {
			return err
		}
	}
	return nil
}

// connectMachine starts the HTTP service of a machine's agent and gives the machine its address and its links. A
// machine boots only once it has an address.
func (c *Cluster) connectMachine(m *machine) error {
	address, err := c.env.serve(m.routes)
	if err != nil {
		return err
	}
	commandLink, err := c.env.openLink(address)
	if err != nil {
		return err
	}
	var heartbeatLinks []*Link
	for _, controller := range c.Controllers {
		link, err := c.env.openLink(controller.ServeAddress)
		if err != nil {
			return err
		}
		heartbeatLinks = append(heartbeatLinks, link)
	}
	c.env.call(func() {
		m.heartbeatLinks, m.controllerIndex = heartbeatLinks, len(c.env.machinesByName)%len(heartbeatLinks)
		m.commandLink = commandLink
		m.Address, m.instance.Address = commandLink.listenAddress, commandLink.listenAddress
	})
	return nil
}

// HeartbeatLink returns the link over which a machine's agent sends heartbeats to a controller. The arguments are the
// indexes of the machine and the controller. The result is nil until the machine is connected.
func (c *Cluster) HeartbeatLink(machine, controller int) (link *Link) {
	c.env.call(func() {
		if machine < len(c.env.machines) && controller < len(c.env.machines[machine].heartbeatLinks) {
			link = c.env.machines[machine].heartbeatLinks[controller]
		}
	})
	return link
}

// CommandLink returns the link over which all controllers send direct commands to a machine's agent. The result is nil
// until the machine is connected.
func (c *Cluster) CommandLink(machine int) (link *Link) {
	c.env.call(func() {
		if machine < len(c.env.machines) {
			link = c.env.machines[machine].commandLink
		}
	})
	return link
}

// FailMachine simulates the failure of the machine with an index.
func (c *Cluster) FailMachine(machine int) {
	c.env.call(func() { c.env.machines[machine].terminated, c.env.machines[machine].instance.Failed = true, true })
}
