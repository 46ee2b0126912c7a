package scenario

import (
	"slices"

	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// machines are the workers of the cluster.
type machines struct {
	workers []*simWorker
	byName  map[string]*simWorker
	outputs *fake.Outputs
	booting []*fake.Instance // created and not up yet
	adopted int              // how many of the cloud's instances were taken in
}

// workerByName is the worker of a machine; nil: it is not up.
func (w *world) workerByName(name string) *simWorker { return w.machines.byName[name] }

// addMachine adds a machine that is up and listed from the beginning.
func (w *world) addMachine(machineType, zone string, spot bool) {
	instance := w.cloud.CreateInstance(0, machineType, zone, spot)
	instance.BootedAt, instance.ListedAt = 0, 0
}

// bootMachines starts the workers of instances that have come up.
func (w *world) bootMachines() {
	m := &w.machines
	m.booting = append(m.booting, w.cloud.Created[m.adopted:]...)
	m.adopted = len(w.cloud.Created)
	m.booting = slices.DeleteFunc(m.booting, func(i *fake.Instance) bool {
		up := !i.Deleted && !i.Failed && !i.NeverBoots && !i.NeverHeartbeats && w.now >= i.BootedAt
		if up {
			w.bootWorker(i)
		}
		return up || i.Deleted
	})
}

// bootWorker starts the worker of an instance.
func (w *world) bootWorker(instance *fake.Instance) {
	var machineType wire.MachineType
	for _, t := range w.cloud.Types {
		if t.Name == instance.Type {
			machineType = t
		}
	}
	s := &simWorker{instance: instance, Agent: &fake.Agent{
		Identity: fake.Identity{
			Name:    instance.Name,
			Address: instance.Address,
			Type:    instance.Type,
			Zone:    instance.Zone,
			Spot:    instance.Spot,
		},
		Resources: fake.Resources{CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB, FetchSeconds: 1},
		LeaseTime: w.cfg.AgentLeaseTime(),
		Workload:  workload{w},
		Observer:  observer{w},
		Outputs:   w.machines.outputs,
	}}
	s.Boot(w.now)
	s.nextHeartbeat = w.now
	s.controller = w.rng.IntN(len(w.controllers))
	w.machines.workers = append(w.machines.workers, s)
	w.machines.byName[s.Name] = s
}

// workload tells the fake workers what the users know of their jobs.
type workload struct{ world *world }

// Job implements fake.Workload.
func (l workload) Job(ref string) (wire.Job, bool) {
	job, ok := l.world.users.jobs[ref]
	return job, ok
}

// RunSeconds implements fake.Workload.
func (l workload) RunSeconds(job *wire.Job, _ int) float64 { return l.world.users.runSeconds[job.Ref] }

// Fails implements fake.Workload.
func (l workload) Fails(job *wire.Job, index int) bool {
	each := l.world.users.failsEach[job.Ref]
	return each > 0 && index%each == 0
}

// observer tells the rules what becomes of tasks.
type observer struct{ world *world }

// RunCommandExecuted implements fake.Observer.
func (o observer) RunCommandExecuted(on *fake.Agent, t *fake.Task) {
	o.world.rules.history.checkOrder(on.Name, t)
}

// TaskStarted implements fake.Observer.
func (o observer) TaskStarted(on *fake.Agent, t *fake.Task) {
	o.world.checkStart(o.world.workerByName(on.Name), t)
}

// TaskAlreadyDone implements fake.Observer.
func (o observer) TaskAlreadyDone(_ *fake.Agent, t *fake.Task) { o.world.rules.history.checkRestart(t) }

// TaskEnded implements fake.Observer.
func (o observer) TaskEnded(_ *fake.Agent, t *fake.Task) {
	if t.Cause == wire.ExitDone {
		o.world.rules.completions[t.Task]++
		o.world.rules.history.noteCompletion(t)
	}
}

// machinesOf lists the machines that a job's tasks are on.
func (w *world) machinesOf(ref string) (workers []*simWorker) {
	for _, s := range w.machines.workers {
		if s.activeTasks(ref) > 0 {
			workers = append(workers, s)
		}
	}
	return workers
}

// countActive counts a job's tasks that are on machines.
func (w *world) countActive(ref string) (count int) {
	for _, s := range w.machines.workers {
		count += s.activeTasks(ref)
	}
	return count
}
