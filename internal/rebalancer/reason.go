package rebalancer

// Reason says why a task, or all tasks of a machine, or all tasks, are not migrated. Its text is part of the status.
type Reason string

// noReason stands for nothing that speaks against a migration.
const noReason Reason = ""

// Reasons against all migrations.
const (
	LeaderChanged Reason = "leader changed lately"
	StaleView     Reason = "view of the jobs is not fresh"
	WorkWaiting   Reason = "work waits for room"
)

// Reasons against migrations from one machine.
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

// Refusal counts the migrations from one machine that were not made for one reason.
type Refusal struct {
	Machine string // "" if it concerns all
	Reason  Reason
	Task    TaskID // the first of those concerned, if the reason is about tasks
	Tasks   int    // how many
}
