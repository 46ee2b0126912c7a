// Package config reads and validates the platform's settings (JSON) and the
// operators' own (YAML).
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"swiftledge/internal/clock"
)

// Peer is another controller.
type Peer struct {
	Name    string `json:"host_name" validate:"required"`
	Zone    string `json:"site"`
	Address string `json:"address" validate:"required,hostname_port"`
}

// Team has a guarantee and a limit. A guarantee of 0 is none, and so is a limit of 0: see CPULimit.
type Team struct {
	Name    string  `json:"name" validate:"required"`
	CPUs    float64 `json:"cpus" validate:"min=0"`
	CPUsMax float64 `json:"cpus_max" validate:"min=0"`
	GPUs    float64 `json:"gpus" validate:"min=0"`
	GPUsMax float64 `json:"gpus_max" validate:"min=0"`
}

// CPULimit is the most processors that the team's tasks may use at any moment; infinite without a limit.
func (t Team) CPULimit() float64 { return limit(t.CPUsMax) }

// GPULimit is the same for accelerators.
func (t Team) GPULimit() float64 { return limit(t.GPUsMax) }

// limit reads a limit as the platform writes it: 0 means that there is none.
func limit(most float64) float64 {
	if most == 0 {
		return math.Inf(1)
	}
	return most
}

// Objective restates one aim of the users.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// Settings is the file that the platform hands over.
type Settings struct {
	Name      string `json:"host_name" validate:"required"`
	Zone      string `json:"site"`
	ServeOn   string `json:"serve_on" validate:"required,hostname_port"`
	Back      string `json:"back" validate:"required,hostname_port"`
	Peers     []Peer `json:"others" validate:"dive"`
	Endpoints struct {
		Cloud string `json:"cloud" validate:"required,hostname_port"`
		State string `json:"state" validate:"required,hostname_port"`
	} `json:"endpoints"`
	Facts struct {
		InitialSize int         `json:"initial_size" validate:"min=1"`
		Zones       []string    `json:"zones" validate:"min=1"`
		Teams       []Team      `json:"teams" validate:"min=1,dive"`
		Objectives  []Objective `json:"objectives"`
		Workers     struct {
			ReportS float64 `json:"report_s" validate:"gt=0"`
			LeaseS  float64 `json:"lease_s" validate:"gt=0"`
			CancelS float64 `json:"cancel_s" validate:"gt=0"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps" validate:"gt=0"`
			WriteRPS float64 `json:"write_rps" validate:"gt=0"`
			ValueKB  float64 `json:"value_kb" validate:"min=2"`
			TxnOps   int     `json:"txn_ops" validate:"min=2"`
			Next     *Next   `json:"next" validate:"omitempty"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps" validate:"gt=0"`
			ListLagS float64 `json:"list_lag_s" validate:"min=0"`
		} `json:"cloud"`
		Quota struct {
			CPU        float64 `json:"cpu" validate:"gt=0"`
			MemMB      float64 `json:"mem_mb" validate:"gt=0"`
			MaxSockets int     `json:"max_sockets" validate:"gt=0"`
		} `json:"quota"`
		SkewMs float64 `json:"skew_ms" validate:"min=0"`
	} `json:"facts"`
}

// Next holds the limits that the state service has from some moment on, without
// notice; what is left out stays as it is.
type Next struct {
	WriteRPS float64 `json:"write_rps" validate:"omitempty,gt=0"`
	ValueKB  float64 `json:"value_kb" validate:"omitempty,min=2"`
	TxnOps   int     `json:"txn_ops" validate:"omitempty,min=2"`
}

// Config is the platform's file and the operators' own.
type Config struct {
	Settings
	Tuning Tuning
}

// GrantTime is how long a grant lasts: the operators' value, but no longer than the time
// budget of a cancellation leaves. From its confirmation, by whichever controller, on
//
//   - for ViewTime a leader that has not seen it may renew grants,
//   - for GrantTime a holder may answer reports under what was renewed,
//   - for the workers' lease a task goes on after its last answered report was sent,
//
// and all of it ends cancelMargin before cancel_s is over.
func (c *Config) GrantTime() clock.Micros {
	return min(clock.FromSeconds(c.Tuning.Grants.TimeS), c.mostGrant())
}

// mostGrant is what the budget leaves for a grant.
func (c *Config) mostGrant() clock.Micros {
	return clock.FromSeconds(c.Facts.Workers.CancelS) - c.LeaseTime() - c.ViewTime() - cancelMargin
}

// cancelMargin is for drift (0.05% of each of the three), and for a worker that looks at its
// lease only now and then.
const cancelMargin = clock.Second

// LongestGrant is what a grant may last with a holder of this version or the one in
// production, which left 4 s whatever the election's TTL: silence proves nothing before.
func (c *Config) LongestGrant() clock.Micros {
	w := c.Facts.Workers
	return max(c.GrantTime(), clock.FromSeconds(min(c.Tuning.Grants.TimeS, max(2, w.CancelS-w.LeaseS-4))))
}

// leastGrant is the shortest grant that is worth having: it is renewed every second.
const leastGrant = 2 * clock.Second

// ViewTime is how old the leader's view of the jobs may be for it to act on it. As long as
// its authority lasts without a renewal, so that one bound holds whether it lost the
// state service or only the news.
func (c *Config) ViewTime() clock.Micros { return clock.FromSeconds(c.Tuning.Election.TTLS) }

// budget says why no grant is short enough for a cancellation to be kept in time.
func (c *Config) budget() error {
	if most := c.mostGrant(); most < leastGrant {
		return fmt.Errorf("workers.cancel_s %g leaves %.1f s for a grant, after workers.lease_s %g and election.ttl_s %g; at least %g s are needed",
			c.Facts.Workers.CancelS, most.Seconds(), c.Facts.Workers.LeaseS, c.Tuning.Election.TTLS, leastGrant.Seconds())
	}
	return nil
}

// ValueMax is what a value of the state service may hold, now and later: limits may
// fall at any moment, and a value over them would be refused for ever.
func (c *Config) ValueMax() int {
	kb := c.Facts.State.ValueKB
	if n := c.Facts.State.Next; n != nil && n.ValueKB > 0 {
		kb = min(kb, n.ValueKB)
	}
	return int(kb * 1024)
}

// ValueBytes is how much we put into one value of the state service at most.
func (c *Config) ValueBytes() int { return c.ValueMax() * 9 / 10 }

// TxnOps is how many puts and deletes a transaction may hold, now and later. The rate of
// changes needs no such care: it follows what the state service answers.
func (c *Config) TxnOps() int {
	ops := c.Facts.State.TxnOps
	if n := c.Facts.State.Next; n != nil && n.TxnOps > 0 {
		ops = min(ops, n.TxnOps)
	}
	return ops
}

// leastRelayBacklog and relayPart bound what waits for its frame on a link through the state service.
const (
	leastRelayBacklog = 256 << 10
	relayPart         = 32 // of the controller's memory
)

// RelayBacklog is how many bytes may wait on a link through the state service. A grant names each machine
// of its block and each task there, so it grows with the fleet.
func (c *Config) RelayBacklog() int {
	return max(leastRelayBacklog, int(c.Facts.Quota.MemMB*(1<<20))/relayPart)
}

// HTTPSockets is how many connections from users and workers are served at once.
// A controller that is left alone speaks to every machine of the site both ways, so
// the limit is divided: most for what comes in, a fifth for direct commands, and the
// rest for the state service, the cloud, the other controllers and what is closing.
func (c *Config) HTTPSockets() int { return max(64, c.Facts.Quota.MaxSockets*7/10) }

// CommandSockets is how many connections for direct commands are kept open.
func (c *Config) CommandSockets() int { return c.Facts.Quota.MaxSockets / 5 }

// LeaseTime is the workers' lease.
func (c *Config) LeaseTime() clock.Micros { return clock.FromSeconds(c.Facts.Workers.LeaseS) }

// Team finds a team by name.
func (c *Config) Team(name string) (Team, bool) {
	for _, t := range c.Facts.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Load reads and checks the platform's file and the operators' own, of which there may be none.
func Load(settings string, tuning ...string) (*Config, error) {
	raw, err := os.ReadFile(settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &Config{}
	if err := json.Unmarshal(raw, &c.Settings); err != nil {
		return nil, fmt.Errorf("settings %s: %w", settings, err)
	}
	if err := check(c.Settings, "json"); err != nil {
		return nil, fmt.Errorf("settings %s: %w", settings, err)
	}
	if c.Tuning, err = loadTuning(tuning); err != nil {
		return nil, err
	}
	return c, c.budget()
}

// check names every missing or invalid field, in the file's own words, on one line.
func check(v any, tag string) error {
	val := validator.New(validator.WithRequiredStructEnabled())
	val.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get(tag), ",")[0]
	})
	err := val.Struct(v)
	var bad validator.ValidationErrors
	if !errors.As(err, &bad) {
		return err
	}
	var parts []string
	for _, b := range bad {
		name := b.Namespace()
		if i := strings.IndexByte(name, '.'); i >= 0 {
			name = name[i+1:]
		}
		rule := b.Tag()
		if b.Param() != "" {
			rule += "=" + b.Param()
		}
		parts = append(parts, fmt.Sprintf("%s is missing or invalid (%s)", name, rule))
	}
	return errors.New(strings.Join(parts, "; "))
}
