package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/leader/fairshare"
	"swiftledge/internal/leader/jobs"
)

// termState is the state that is created anew for each term: the leadership itself, and the parts that own the rest of
// the state.
type termState struct {
	leadership
	jobs        *jobs.Table
	progress    *jobs.ProgressPages
	usage       *fairshare.Usage
	shards      shardTable
	inventory   inventory
	autoscaler  autoscalerState
	scheduling  schedulingState
	preemption  preemptionState
	rebalancing *rebalancing // nil while rebalancing is off
	outcomes    taskOutcomes

	stateLoggedAt, countsReportedAt clock.Micros
}

// reset discards the state of the last term.
func (l *Leader) reset() {
	l.termState = termState{
		leadership: leadership{valueBytes: l.cfg.TargetValueBytes(), txnOps: l.cfg.MaxTxnWrites()},
		jobs:       jobs.NewTable(),
		progress:   jobs.NewProgressPages(0),
		usage:      fairshare.NewUsage(),
		shards:     shardTable{controllers: map[string]*controller{}},
		inventory:  newInventory(),
		autoscaler: newAutoscalerState(),
	}
}
