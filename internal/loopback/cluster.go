package loopback

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/valyala/fasthttp"
)

// Cluster is a site with its controllers.
type Cluster struct {
	Controllers []*Controller

	environment *environment
	client      *fasthttp.Client
	stopOnce    func() // ends everything and waits for it
}

// Start starts a site in a directory of its own: the binary is the controller, tuning its settings files. It
// runs until ctx or Stop ends it.
func Start(ctx context.Context, dir, binary string, shape ClusterConfig, tuning ...string) (*Cluster, error) {
	c := &Cluster{environment: newEnvironment(shape), client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	c.stopOnce = sync.OnceFunc(c.stopAll)
	err := c.createControllers(dir, binary, tuning)
	if err == nil {
		err = c.connectControllers()
	}
	if err == nil {
		c.environment.start(c.connectMachine)
		err = c.startControllers(ctx)
	}
	if err != nil {
		c.Stop()
		return nil, fmt.Errorf("loopback: %w", err)
	}
	context.AfterFunc(ctx, c.Stop)
	return c, nil
}

// Stop ends all processes and fakes, and returns once they have ended.
func (c *Cluster) Stop() { c.stopOnce() }

func (c *Cluster) stopAll() {
	for _, k := range c.Controllers {
		k.Kill()
	}
	c.environment.stop()
}

// createControllers describes the controllers, each with a directory of its own, where it may write what its
// settings name.
func (c *Cluster) createControllers(dir, binary string, tuning []string) error {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	var settingsArgs []string
	for _, file := range tuning {
		if file, err = filepath.Abs(file); err != nil {
			return err
		}
		settingsArgs = append(settingsArgs, "--settings", file)
	}
	for i := range c.environment.config.Controllers {
		name := controllerName(i)
		k := &Controller{
			Name:         name,
			SettingsFile: filepath.Join(dir, name+".json"),
			WorkDir:      filepath.Join(dir, name),
			PeerLinks:    map[string]*Link{},
			logFile:      filepath.Join(dir, name+".log"),
			binary:       binary,
		}
		k.args = append([]string{"--config", k.SettingsFile}, settingsArgs...)
		if err := os.MkdirAll(k.WorkDir, 0o700); err != nil {
			return err
		}
		c.Controllers = append(c.Controllers, k)
	}
	return nil
}

// connectControllers starts the services that controllers use, and opens the links to them and between them.
func (c *Cluster) connectControllers() error {
	store, err := c.environment.serve(c.environment.storeRoutes)
	if err != nil {
		return err
	}
	cloud, err := c.environment.serve(c.environment.cloudRoutes)
	if err != nil {
		return err
	}
	for _, k := range c.Controllers {
		if k.ServeAddress, err = freeAddress(); err != nil {
			return err
		}
		if k.PeerAddress, err = freeAddress(); err != nil {
			return err
		}
		if k.StoreLink, err = c.environment.openLink(store); err != nil {
			return err
		}
		if k.CloudLink, err = c.environment.openLink(cloud); err != nil {
			return err
		}
	}
	for _, k := range c.Controllers {
		if err := c.connectPeers(k); err != nil {
			return err
		}
		if err := c.writeSettings(k); err != nil {
			return err
		}
	}
	return nil
}

// connectPeers opens the links from one controller to the others.
func (c *Cluster) connectPeers(from *Controller) error {
	for _, to := range c.Controllers {
		if to == from {
			continue
		}
		link, err := c.environment.openLink(to.PeerAddress)
		if err != nil {
			return err
		}
		from.PeerLinks[to.Name] = link
	}
	return nil
}

// startControllers starts the controllers one after the other, each once the one before it listens.
func (c *Cluster) startControllers(ctx context.Context) error {
	for _, k := range c.Controllers {
		if err := k.Start(); err != nil {
			return err
		}
		if err := k.waitUntilListening(ctx); err != nil {
			return err
		}
	}
	return nil
}

// connectMachine gives a new worker its address and its links to the controllers; it is up only then.
func (c *Cluster) connectMachine(w *machine) error {
	address, err := c.environment.serve(w.routes)
	if err != nil {
		return err
	}
	commands, err := c.environment.openLink(address)
	if err != nil {
		return err
	}
	var links []*Link
	for _, k := range c.Controllers {
		link, err := c.environment.openLink(k.ServeAddress)
		if err != nil {
			return err
		}
		links = append(links, link)
	}
	c.environment.call(func() {
		w.heartbeatLinks, w.controllerIndex = links, len(c.environment.machinesByName)%len(links)
		w.commandLink = commands
		w.Address, w.instance.Address = commands.listenAddress, commands.listenAddress
	})
	return nil
}

// HeartbeatLink is the link from a worker to a controller, both by number; nil until the worker is up.
func (c *Cluster) HeartbeatLink(worker, controller int) (l *Link) {
	c.environment.call(func() {
		if worker < len(c.environment.machines) && controller < len(c.environment.machines[worker].heartbeatLinks) {
			l = c.environment.machines[worker].heartbeatLinks[controller]
		}
	})
	return l
}

// CommandLink is the link over which all controllers send direct commands to a worker; nil until it is up.
func (c *Cluster) CommandLink(worker int) (l *Link) {
	c.environment.call(func() {
		if worker < len(c.environment.machines) {
			l = c.environment.machines[worker].commandLink
		}
	})
	return l
}

// FailMachine has a machine stop by itself.
func (c *Cluster) FailMachine(i int) {
	c.environment.call(func() { c.environment.machines[i].terminated, c.environment.machines[i].instance.Failed = true, true })
}
