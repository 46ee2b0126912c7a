package rebalancer

// Reason is the reason why a task, all tasks of a machine, or all tasks are not migrated. The status shows its text.
type Reason string

// noReason means that there is no reason against a migration.
const noReason Reason = ""

// Reasons against all migrations.
const (
	LeaderChanged Reason = "leader changed lately"
	StaleView     Reason = "view of the jobs is not fresh"
	WorkWaiting   Reason = "work waits for room"
)

// Reasons against migrations off one machine.
const (
	MigrationBudgetSpent Reason = "moves in flight"
	MachineMigrating     Reason = "a move concerns the machine"
	OfferPending         Reason = "an offer is out"
	InvalidResources     Reason = "impossible figures"
	Overcommitted        Reason = "records of former attempts are not settled"
	OnlyTask             Reason = "no other task there"
)

// Reasons against the migration of one task.
const (
	NoCheckpoints    Reason = "cannot save"
	RecentlyStarted  Reason = "just started"
	AlmostDone       Reason = "nearly done"
	PlacementBound   Reason = "place depends on others of its job"
	ServiceReplica   Reason = "replica of a service"
	AlreadyStopping  Reason = "told to stop"
	RecentlyMigrated Reason = "moved lately"
	TeamAtLimit      Reason = "work of its team waits at its limit"
	TeamBudgetSpent  Reason = "moves of its team in flight"
	NoTarget         Reason = "no machine within the bound"
	NotWorthwhile    Reason = "costs more than it gains"
)

// Refusal counts the migrations off one machine, or off all machines, that are refused for one reason.
type Refusal struct {
	Machine string // "": all machines
	Reason  Reason
	Task    TaskID // the first affected task, if the reason is about tasks
	Tasks   int    // number of refusals with this machine and reason
}
