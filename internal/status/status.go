// Package status asks every controller how it is and shows the answers to an operator. It only reads.
package status

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"

	"swiftledge/internal/config"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
)

// Controller is one controller's answer, or why there is none.
type Controller struct {
	Name    string       `json:"name"`
	Address string       `json:"address"`
	Problem string       `json:"problem,omitempty"`
	Status  *peer.Status `json:"status,omitempty"`
}

// ErrNoAnswer says that no controller answered.
var ErrNoAnswer = errors.New("no controller answered")

// Ask asks all controllers of a site at once.
func Ask(cfg *config.Config) []Controller {
	all := []Controller{{Name: cfg.Name, Address: cfg.PeerAddress}}
	for _, p := range cfg.Peers {
		all = append(all, Controller{Name: p.Name, Address: p.Address})
	}
	return AskEach(all)
}

// AskEach asks controllers, by their addresses, at once.
func AskEach(all []Controller) []Controller {
	var wait sync.WaitGroup
	for i := range all {
		wait.Go(func() { all[i].ask() })
	}
	wait.Wait()
	return all
}

func (c *Controller) ask() {
	s, err := peer.FetchStatus(c.Address)
	switch {
	case errors.Is(err, peer.ErrStatusUnsupported):
		c.Problem = "its version does not know the question"
	case err != nil:
		c.Problem = err.Error()
	default:
		c.Status = &s
	}
}

// Answered says whether any controller did.
func Answered(all []Controller) bool {
	for _, c := range all {
		if c.Status != nil {
			return true
		}
	}
	return false
}

// WriteJSON writes all that is known.
func WriteJSON(w io.Writer, all []Controller) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(all); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

// WriteTable writes a row for each controller, then what the leader tells: blocks, teams, moves and why
// others were not made; with machines, also a row for each machine.
func WriteTable(w io.Writer, all []Controller, machines bool) error {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row("CONTROLLER", "ADDRESS", "LEADER", "EPOCH", "STATE")
	for _, c := range all {
		if c.Status == nil {
			t.row(c.Name, c.Address, "", "", c.Problem)
			continue
		}
		t.row(c.Name, c.Address, c.Status.Leader, c.Status.Term, role(c.Status))
	}
	t.pauses(all)
	for _, c := range all {
		if c.Status != nil && c.Status.Leading {
			t.leader(c.Status, machines)
		}
	}
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

func role(s *peer.Status) string {
	switch {
	case s.Leading:
		return "leads"
	case s.Leader == "":
		return "follows nobody"
	}
	return "follows"
}

// table writes rows of aligned columns; what goes wrong shows when it is flushed.
type table struct{ w *tabwriter.Writer }

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		if f, ok := c.(float64); ok {
			fmt.Fprintf(t.w, "%.2f", f)
		} else {
			fmt.Fprint(t.w, c)
		}
	}
	fmt.Fprintln(t.w)
}

// heading begins a new group of rows.
func (t *table) heading(cells ...any) {
	fmt.Fprintln(t.w)
	t.row(cells...)
}

func (t *table) leader(s *peer.Status, machines bool) {
	t.heading("BLOCK", "HOLDER", "MACHINES", "TAKE WORK", "MEAN LOAD", "MOST LOAD", "TASKS", "UNSTARTED")
	for _, b := range s.Shards {
		holder := b.Holder
		if !b.Granted {
			holder += " (not granted)"
		}
		t.row(b.Shard, holder, b.Machines, b.TakeWork, b.MeanLoad, b.MostLoad, b.Tasks, b.Unstarted)
	}
	if machines {
		t.heading("MACHINE", "BLOCK", "TYPE", "ZONE", "LOAD", "OVER MEAN", "TASKS", "TAKES WORK")
		for _, m := range s.Machines {
			takes := "yes"
			if !m.TakesWork {
				takes = "no: " + m.WhyNot
			}
			t.row(m.Name, m.Shard, m.Type, m.Zone, m.Load, m.OverMean, m.Tasks, takes)
		}
	}
	t.heading("TEAM", "CPUS HELD", "LIMIT", "WAITING", "AT LIMIT")
	for _, team := range s.Teams {
		limit := any(team.Limit)
		if team.Limit == 0 {
			limit = "none"
		}
		t.row(team.Team, team.CPUs, limit, team.Waiting, team.AtLimit)
	}
	t.suspects(s)
	t.moves(s)
}

// pauses shows which controllers stood still, if any did.
func (t *table) pauses(all []Controller) {
	headed := false
	for _, c := range all {
		if c.Status == nil || c.Status.LastPause == nil {
			continue
		}
		if !headed {
			t.heading("STOOD STILL", "TIMES", "LAST ENDED S AGO", "FOR S", "EXPIRED MEANWHILE")
			headed = true
		}
		p := c.Status.LastPause
		t.row(c.Name, c.Status.Pauses, p.AgoS, p.LengthS, pausedetect.ExpiredText(p.Expired))
	}
}

// suspects shows the jobs whose tasks fail wherever they run, if there are any.
func (t *table) suspects(s *peer.Status) {
	if len(s.Suspects) == 0 {
		return
	}
	t.heading("SUSPECT JOB", "TEAM", "FAILED ON", "PROBES", "NEXT IN S")
	for _, j := range s.Suspects {
		t.row(j.Job, j.Team, fmt.Sprintf("%d machines", j.Machines), j.Probes, j.NextS)
	}
}

func (t *table) moves(s *peer.Status) {
	if !s.Rebalancing {
		t.heading("MOVES", "off")
		return
	}
	t.heading("MOVES", "BEGUN", "ARRIVED", "ELSEWHERE", "CANCELLED", "GIVEN UP")
	t.row("this epoch", s.MigrationOutcomes.Begun, s.MigrationOutcomes.Arrived, s.MigrationOutcomes.Elsewhere, s.MigrationOutcomes.Cancelled, s.MigrationOutcomes.GivenUp)
	if len(s.Migrations) > 0 {
		t.heading("MOVING", "TEAM", "FROM", "TO", "STAGE", "SINCE S", "GAIN S", "COST S")
		for _, m := range s.Migrations {
			t.row(m.Task, m.Team, m.From, m.To, m.Stage, m.AgeS, m.GainS, m.CostS)
		}
	}
	if len(s.Refusals) > 0 {
		t.heading("NOT MOVED", "WHY", "TASKS", "SUCH AS")
		for _, r := range s.Refusals {
			machine := r.Machine
			if machine == "" {
				machine = "all"
			}
			t.row(machine, r.Reason, r.Tasks, r.Task)
		}
	}
}
