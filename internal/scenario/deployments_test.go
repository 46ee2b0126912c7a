package scenario

import (
	"encoding/json"
	"fmt"
	"testing"

	"swiftledge/internal/config"
	"swiftledge/wire"
)

// deployment is a cluster that operators run, with its load. It has 1.5 times as many machines as the operators report.
type deployment struct {
	name     string
	machines int
	teams    int
	team     config.Team     // template of all teams, without a name
	settings config.Settings // only the facts are set
	types    []wire.MachineType
	load     deploymentLoad
}

// deploymentLoad is the load of a deployment: a number of identical jobs.
type deploymentLoad struct {
	jobs, tasks int     // number of jobs, and number of tasks in each job
	cpus        float64 // CPUs that each task needs
	memoryGB    float64 // memory that each task needs
	runSeconds  float64 // run time of each task
}

// zonesOfDeployments returns the zones that deployments use: each deployment uses the first zone, the first three or all
// four.
func zonesOfDeployments() []string { return []string{"a", "b", "c", "d"} }

// deployments returns the deployments that TestCostAtSize simulates.
func deployments() []deployment {
	return []deployment{oneTypeDeployment(), twoTypesDeployment(), smallControllersOneTypeDeployment(), smallControllersTwoTypesDeployment()}
}

// smallType returns a machine type of four CPUs.
func smallType(zones []string) wire.MachineType {
	return wire.MachineType{
		Name:      "small",
		CPUs:      4,
		MemoryGB:  8,
		CacheGB:   40,
		FetchGBPS: 0.6,
		Price:     0.26,
		SpotPrice: 0.09,
		BootS:     25,
		ZoneNames: zones,
	}
}

// smallAndMiddleTypes returns two machine types of four and eight CPUs that boot slowly.
func smallAndMiddleTypes(zones []string) []wire.MachineType {
	small := wire.MachineType{
		Name:      "small",
		CPUs:      4,
		MemoryGB:  8,
		CacheGB:   80,
		FetchGBPS: 0.2,
		Price:     0.26,
		SpotPrice: 0.1,
		BootS:     50,
		ZoneNames: zones,
	}
	middle := wire.MachineType{
		Name:      "middle",
		CPUs:      8,
		MemoryGB:  32,
		CacheGB:   60,
		FetchGBPS: 0.5,
		Price:     0.55,
		SpotPrice: 0.19,
		BootS:     50,
		ZoneNames: zones,
	}
	return []wire.MachineType{small, middle}
}

func oneTypeDeployment() deployment {
	zones := zonesOfDeployments()[:1]
	d := deployment{
		name:     "one type",
		machines: 2240,
		teams:    16,
		team:     config.Team{CPUs: 375, CPUsMax: 3000},
		types:    []wire.MachineType{smallType(zones)},
		load:     deploymentLoad{jobs: 40, tasks: 300, cpus: 2, memoryGB: 3.2, runSeconds: 15},
	}
	f := &d.settings.Facts
	f.Zones = zones
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 6, 31, 61
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 300, 40, 4, 8
	f.Cloud.RPS, f.Cloud.ListLagS = 9, 8
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = 0.252, 322, 3925
	return d
}

func twoTypesDeployment() deployment {
	zones := zonesOfDeployments()
	d := deployment{
		name:     "two types, four zones",
		machines: 1750,
		teams:    10,
		team:     config.Team{CPUs: 1050, CPUsMax: 4500},
		types:    smallAndMiddleTypes(zones),
		load:     deploymentLoad{jobs: 40, tasks: 600, cpus: 1, memoryGB: 1.1, runSeconds: 40},
	}
	f := &d.settings.Facts
	f.Zones = zones
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 5, 26.5, 46.5
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 250, 60, 16, 12
	f.Cloud.RPS, f.Cloud.ListLagS = 3, 4
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = 0.192, 271, 2999
	return d
}

// Quotas of the smallest controllers that operators run.
const (
	smallControllerCPU     = 0.029
	smallControllerMB      = 81
	smallControllerSockets = 1500
)

func smallControllersOneTypeDeployment() deployment {
	d := oneTypeDeployment()
	d.name, d.machines = "small controllers, one type", 750
	d.team = config.Team{CPUs: 120, CPUsMax: 1000}
	d.load.jobs, d.load.tasks = 30, 150
	f := &d.settings.Facts
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 3, 22, 52
	f.State.RPS, f.State.WriteRPS = 100, 15
	f.Cloud.RPS = 5
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = smallControllerCPU, smallControllerMB, smallControllerSockets
	return d
}

func smallControllersTwoTypesDeployment() deployment {
	d := twoTypesDeployment()
	d.name, d.machines = "small controllers, two types, four zones", 900
	d.team = config.Team{CPUs: 500, CPUsMax: 2200}
	d.load.tasks = 300
	f := &d.settings.Facts
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 3, 17, 37
	f.State.RPS, f.State.WriteRPS = 120, 30
	f.Cloud.RPS = 2
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = smallControllerCPU, smallControllerMB, smallControllerSockets
	return d
}

// largestDeployment returns a cluster of 1.5 times the size of the largest that operators run.
func largestDeployment() deployment {
	d := oneTypeDeployment()
	d.machines = 6000
	d.team = config.Team{CPUs: 1500, CPUsMax: 9000}
	d.load.tasks, d.load.runSeconds = 600, 90
	f := &d.settings.Facts
	f.Zones = zonesOfDeployments()[:3]
	d.types[0].ZoneNames = f.Zones
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 10, 45, 90
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 600, 100, 16, 12
	f.Cloud.RPS = 20
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = 0.6, 900, 12000
	return d
}

// teamName returns the name of a team. Any number maps to one of the teams.
func (d *deployment) teamName(number int) string { return fmt.Sprint("t", number%d.teams) }

// world creates the deployment's cluster.
func (d *deployment) world(name string) *world {
	cfg := config.Config{Settings: d.settings, Tuning: config.DefaultTuning()}
	cfg.Facts.InitialSize = 3
	for i := range d.teams {
		team := d.team
		team.Name = d.teamName(i)
		cfg.Facts.Teams = append(cfg.Facts.Teams, team)
	}
	w := newWorld(name, cfg, d.types, 1)
	w.cloud.Capacity = d.machines
	return w
}

// mustSubmitBatch submits a batch job with a number of tasks, each like those of the deployment's load.
func (w *world) mustSubmitBatch(t *testing.T, d *deployment, number, tasks int) {
	t.Helper()
	ref := fmt.Sprintf("j-%06d", number)
	w.users.runSeconds[ref] = d.load.runSeconds
	w.mustSubmit(t, number, wire.Job{
		Ref:       ref,
		Class:     "l",
		Team:      d.teamName(number),
		Shape:     wire.ShapeBatch,
		Priority:  wire.PriorityStandard,
		Tasks:     tasks,
		CPUs:      d.load.cpus,
		MemoryGB:  d.load.memoryGB,
		Image:     fmt.Sprint("img", number%6),
		ImageGB:   1.5,
		Spot:      true,
		EstimateS: d.load.runSeconds,
	})
}

// mustSubmitLoad submits all jobs of the deployment's load, numbered from first.
func (w *world) mustSubmitLoad(t *testing.T, d *deployment, first int) {
	t.Helper()
	for i := range d.load.jobs {
		w.mustSubmitBatch(t, d, first+i, d.load.tasks)
	}
}

// mustSubmit submits a job and fails the test if it is not accepted. Jobs with consecutive numbers go to the controllers
// in turn.
func (w *world) mustSubmit(t *testing.T, number int, j wire.Job) {
	t.Helper()
	body, err := json.Marshal(j)
	must(err)
	if got := w.submit(w.controllers[number%len(w.controllers)], body); got != "201 queued" {
		t.Fatalf("submit job %d: got response %q, want \"201 queued\"", number, got)
	}
}
