package loopback

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"strconv"

	"swiftledge/internal/config"
)

// What a controller of the site has.
const (
	controllerCPU     = 0.2
	controllerMB      = 250
	controllerSockets = 1500
)

// What the state service and the cloud take.
const (
	storeRPS      = 200
	storeWriteRPS = 60
	storeValueKB  = 16
	storeTxnOps   = 12
	cloudRPS      = 5
	cloudListLagS = 2
)

const (
	// minPort and maxPort bound the ports that controllers listen on: below those from which the system takes
	// the near ends of connections, which would take a free one away.
	minPort, maxPort = 10000, 30000
	// maxPortAttempts is how many ports are tried.
	maxPortAttempts = 100
)

// freeAddress finds an address on loopback that nobody listens on.
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

// writeSettings writes the platform's file for a controller.
func (c *Cluster) writeSettings(k *Controller) error {
	shape := c.environment.config
	s := config.Settings{
		Name:          k.Name,
		Zone:          zone,
		ListenAddress: k.ServeAddress,
		PeerAddress:   k.PeerAddress,
		Peers:         []config.Peer{},
	}
	s.Endpoints.Cloud, s.Endpoints.State = k.CloudLink.listenAddress, k.StoreLink.listenAddress
	for _, other := range c.Controllers {
		if other != k {
			peer := config.Peer{Name: other.Name, Zone: zone, Address: k.PeerLinks[other.Name].listenAddress}
			s.Peers = append(s.Peers, peer)
		}
	}
	f := &s.Facts
	f.InitialSize, f.Zones = shape.Controllers, []string{zone}
	for _, name := range shape.Teams {
		f.Teams = append(f.Teams, config.Team{Name: name, CPUs: shape.TeamCPUsMax / 2, CPUsMax: shape.TeamCPUsMax})
	}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = shape.HeartbeatIntervalS, shape.LeaseS, shape.CancelS
	f.State.RPS, f.State.WriteRPS = storeRPS, storeWriteRPS
	f.State.ValueKB, f.State.TxnOps = storeValueKB, storeTxnOps
	f.Cloud.RPS, f.Cloud.ListLagS = cloudRPS, cloudListLagS
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = controllerCPU, controllerMB, controllerSockets
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(k.SettingsFile, raw, 0o600)
}
