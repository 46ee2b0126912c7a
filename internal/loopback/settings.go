package loopback

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"strconv"

	"swiftledge/internal/config"
)

// Resource quota of a controller.
const (
	controllerCPU     = 0.2
	controllerMB      = 250
	controllerSockets = 1500
)

// Limits of the state service and the cloud.
const (
	storeRPS      = 200
	storeWriteRPS = 60
	storeValueKB  = 16
	storeTxnOps   = 12
	cloudRPS      = 5
	cloudListLagS = 2
)

const (
	// minPort and maxPort bound the ports on which controllers listen. The range lies below the ephemeral ports,
	// from which the system takes the local ports of outgoing connections: such a connection could occupy a port after
	// freeAddress has found it free and before the controller listens on it.
	minPort, maxPort = 10000, 30000
	// maxPortAttempts is the maximum number of ports that freeAddress tries.
	maxPortAttempts = 100
)

// freeAddress returns a loopback address on which no process listens.
func freeAddress() (string, error) {
	var err error
	for range maxPortAttempts {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+rand.IntN(maxPort-minPort)))
		var listener net.Listener
		if listener, err = net.Listen("tcp4", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// writeSettings writes a controller's file of platform settings.
func (c *Cluster) writeSettings(controller *Controller) error {
	cluster := c.env.config
	settings := config.Settings{
		Name:          controller.Name,
		Zone:          zone,
		ListenAddress: controller.ServeAddress,
		PeerAddress:   controller.PeerAddress,
		Peers:         []config.Peer{},
	}
	settings.Endpoints.Cloud, settings.Endpoints.State =
		controller.CloudLink.listenAddress, controller.StoreLink.listenAddress
	for _, other := range c.Controllers {
		if other != controller {
			peer := config.Peer{Name: other.Name, Zone: zone, Address: controller.PeerLinks[other.Name].listenAddress}
			settings.Peers = append(settings.Peers, peer)
		}
	}
	facts := &settings.Facts
	facts.InitialSize, facts.Zones = cluster.Controllers, []string{zone}
	for _, name := range cluster.Teams {
		facts.Teams = append(facts.Teams,
			config.Team{Name: name, CPUs: cluster.TeamCPUsMax / 2, CPUsMax: cluster.TeamCPUsMax})
	}
	facts.Workers.ReportS, facts.Workers.LeaseS, facts.Workers.CancelS =
		cluster.HeartbeatIntervalS, cluster.LeaseS, cluster.CancelS
	facts.State.RPS, facts.State.WriteRPS = storeRPS, storeWriteRPS
	facts.State.ValueKB, facts.State.TxnOps = storeValueKB, storeTxnOps
	facts.Cloud.RPS, facts.Cloud.ListLagS = cloudRPS, cloudListLagS
	facts.Quota.CPU, facts.Quota.MemMB, facts.Quota.MaxSockets = controllerCPU, controllerMB, controllerSockets
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(controller.SettingsFile, raw, 0o600)
}
