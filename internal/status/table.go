package status

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
)

// Detail says how much WriteTable shows.
type Detail int

// Levels of detail.
const (
	// WithoutMachines leaves the machines out.
	WithoutMachines Detail = iota
	// WithMachines shows a row for each machine.
	WithMachines
)

// WriteTable writes a row for each controller, followed by the leader's view: shards, teams, suspect jobs, migrations
// and the reasons against others, and machines if detail is WithMachines.
func WriteTable(w io.Writer, controllers []Controller, detail Detail) error {
	t := &table{writer: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.writeControllers(controllers)
	t.writePauses(controllers)
	for _, c := range controllers {
		if c.Status != nil && c.Status.IsLeader {
			t.writeLeader(c.Status, detail)
		}
	}
	t.flush()
	if t.err != nil {
		return fmt.Errorf("status: %w", t.err)
	}
	return nil
}

// table writes rows with aligned columns. It keeps the first error and writes nothing after it.
type table struct {
	writer *tabwriter.Writer
	err    error
}

// row writes a row. Cells are formatted like the arguments of fmt.Sprint, and floats with two decimals.
func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		if number, ok := cell.(float64); ok {
			texts[i] = fmt.Sprintf("%.2f", number)
		} else {
			texts[i] = fmt.Sprint(cell)
		}
	}
	t.write(strings.Join(texts, "\t") + "\n")
}

// heading writes an empty line and the column titles of a new group of rows.
func (t *table) heading(titles ...string) {
	t.write("\n" + strings.Join(titles, "\t") + "\n")
}

func (t *table) write(text string) {
	if t.err == nil {
		_, t.err = io.WriteString(t.writer, text)
	}
}

func (t *table) flush() {
	if t.err == nil {
		t.err = t.writer.Flush()
	}
}

func (t *table) writeControllers(controllers []Controller) {
	t.row("CONTROLLER", "ADDRESS", "LEADER", "EPOCH", "STATE")
	for _, c := range controllers {
		if c.Status == nil {
			t.row(c.Name, c.Address, "", "", c.Problem)
			continue
		}
		t.row(c.Name, c.Address, c.Status.Leader, c.Status.Term, role(c.Status))
	}
}

func role(s *peer.Status) string {
	switch {
	case s.IsLeader:
		return "leads"
	case s.Leader == "":
		return "follows nobody"
	}
	return "follows"
}

// writePauses shows the controllers that had process pauses, if any.
func (t *table) writePauses(controllers []Controller) {
	hasHeading := false
	for _, c := range controllers {
		if c.Status == nil || c.Status.LastPause == nil {
			continue
		}
		if !hasHeading {
			t.heading("STOOD STILL", "TIMES", "LAST ENDED S AGO", "FOR S", "EXPIRED MEANWHILE")
			hasHeading = true
		}
		last := c.Status.LastPause
		t.row(c.Name, c.Status.Pauses, last.AgoS, last.LengthS, pausedetect.ExpiredText(last.Expired))
	}
}

// writeLeader shows the state that only the leader knows.
func (t *table) writeLeader(s *peer.Status, detail Detail) {
	t.writeShards(s.Shards)
	if detail == WithMachines {
		t.writeMachines(s.Machines)
	}
	t.writeTeams(s.Teams)
	t.writeSuspects(s.Suspects)
	t.writeMigrations(s)
}

func (t *table) writeShards(shards []peer.ShardStatus) {
	t.heading("BLOCK", "HOLDER", "MACHINES", "TAKE WORK", "MEAN LOAD", "MOST LOAD", "TASKS", "UNSTARTED")
	for _, s := range shards {
		holder := s.Holder
		if !s.Granted {
			holder += " (not granted)"
		}
		t.row(s.Shard, holder, s.Machines, s.SchedulableMachines, s.MeanLoad, s.MaxLoad, s.Tasks, s.Unstarted)
	}
}

func (t *table) writeMachines(machines []peer.MachineStatus) {
	t.heading("MACHINE", "BLOCK", "TYPE", "ZONE", "LOAD", "OVER MEAN", "TASKS", "TAKES WORK")
	for _, m := range machines {
		takesWork := "yes"
		if !m.Schedulable {
			takesWork = "no: " + m.UnschedulableReason
		}
		t.row(m.Name, m.Shard, m.Type, m.Zone, m.Load, m.RelativeLoad, m.Tasks, takesWork)
	}
}

func (t *table) writeTeams(teams []peer.TeamStatus) {
	t.heading("TEAM", "CPUS HELD", "LIMIT", "WAITING", "AT LIMIT")
	for _, team := range teams {
		limit := "none"
		if team.Limit != 0 {
			limit = fmt.Sprintf("%.2f", team.Limit)
		}
		t.row(team.Team, team.CPUs, limit, team.Waiting, team.WaitingAtLimit)
	}
}

// writeSuspects shows the suspect jobs, whose tasks have failed on several machines, if there are any.
func (t *table) writeSuspects(suspects []peer.SuspectStatus) {
	if len(suspects) == 0 {
		return
	}
	t.heading("SUSPECT JOB", "TEAM", "FAILED ON", "PROBES", "NEXT IN S")
	for _, s := range suspects {
		t.row(s.Job, s.Team, fmt.Sprintf("%d machines", s.Machines), s.Probes, s.NextProbeS)
	}
}

// writeMigrations shows the migrations of rebalancing and the reasons against other migrations.
func (t *table) writeMigrations(s *peer.Status) {
	if !s.Rebalancing {
		t.heading("MOVES", "off")
		return
	}
	t.heading("MOVES", "BEGUN", "ARRIVED", "ELSEWHERE", "CANCELLED", "GIVEN UP")
	outcomes := s.MigrationOutcomes
	t.row("this epoch",
		outcomes.Begun, outcomes.Arrived, outcomes.Elsewhere, outcomes.Cancelled, outcomes.GivenUp)
	if len(s.Migrations) > 0 {
		t.heading("MOVING", "TEAM", "FROM", "TO", "STAGE", "SINCE S", "GAIN S", "COST S")
		for _, m := range s.Migrations {
			t.row(m.Task, m.Team, m.From, m.To, m.Stage, m.AgeS, m.GainS, m.CostS)
		}
	}
	if len(s.Refusals) > 0 {
		t.heading("NOT MOVED", "WHY", "TASKS", "SUCH AS")
		for _, r := range s.Refusals {
			t.row(refusalScope(r.Machine), r.Reason, r.Tasks, r.Task)
		}
	}
}

// refusalScope returns the machine that a refusal concerns, or "all" if the refusal names no machine.
func refusalScope(machine string) string {
	if machine == "" {
		return "all"
	}
	return machine
}
