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

	site   *site
	client *fasthttp.Client
	stop   func() // ends everything and waits for it
}

// Start starts a site in a directory of its own: the binary is the controller, tuning its settings files. It
// runs until ctx or Stop ends it.
func Start(ctx context.Context, dir, binary string, shape Shape, tuning ...string) (*Cluster, error) {
	c := &Cluster{site: newSite(shape), client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	c.stop = sync.OnceFunc(c.end)
	err := c.createControllers(dir, binary, tuning)
	if err == nil {
		err = c.connectControllers()
	}
	if err == nil {
		c.site.start(c.connectWorker)
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
func (c *Cluster) Stop() { c.stop() }

func (c *Cluster) end() {
	for _, k := range c.Controllers {
		k.Kill()
	}
	c.site.stop()
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
	for i := range c.site.shape.Controllers {
		name := controllerName(i)
		k := &Controller{
			Name:         name,
			SettingsFile: filepath.Join(dir, name+".json"),
			Dir:          filepath.Join(dir, name),
			PeerLinks:    map[string]*Link{},
			logFile:      filepath.Join(dir, name+".log"),
			binary:       binary,
		}
		k.args = append([]string{"--config", k.SettingsFile}, settingsArgs...)
		if err := os.MkdirAll(k.Dir, 0o700); err != nil {
			return err
		}
		c.Controllers = append(c.Controllers, k)
	}
	return nil
}

// connectControllers starts the services that controllers use, and opens the links to them and between them.
func (c *Cluster) connectControllers() error {
	store, err := c.site.serve(c.site.storeRoutes)
	if err != nil {
		return err
	}
	cloud, err := c.site.serve(c.site.cloudRoutes)
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
		if k.StoreLink, err = c.site.link(store); err != nil {
			return err
		}
		if k.CloudLink, err = c.site.link(cloud); err != nil {
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
		link, err := c.site.link(to.PeerAddress)
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

// connectWorker gives a new worker its address and its links to the controllers; it is up only then.
func (c *Cluster) connectWorker(w *worker) error {
	address, err := c.site.serve(w.routes)
	if err != nil {
		return err
	}
	commands, err := c.site.link(address)
	if err != nil {
		return err
	}
	var links []*Link
	for _, k := range c.Controllers {
		link, err := c.site.link(k.ServeAddress)
		if err != nil {
			return err
		}
		links = append(links, link)
	}
	c.site.call(func() {
		w.links, w.controller = links, len(c.site.byName)%len(links)
		w.commands = commands
		w.Address, w.instance.Address = commands.listen, commands.listen
	})
	return nil
}

// HeartbeatLink is the link from a worker to a controller, both by number; nil until the worker is up.
func (c *Cluster) HeartbeatLink(worker, controller int) (l *Link) {
	c.site.call(func() {
		if worker < len(c.site.workers) && controller < len(c.site.workers[worker].links) {
			l = c.site.workers[worker].links[controller]
		}
	})
	return l
}

// CommandLink is the link over which all controllers send direct commands to a worker; nil until it is up.
func (c *Cluster) CommandLink(worker int) (l *Link) {
	c.site.call(func() {
		if worker < len(c.site.workers) {
			l = c.site.workers[worker].commands
		}
	})
	return l
}

// FailMachine has a machine stop by itself.
func (c *Cluster) FailMachine(i int) {
	c.site.call(func() { c.site.workers[i].ended, c.site.workers[i].instance.Failed = true, true })
}
