package scenario

import (
	"slices"
	"strings"

	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// machines holds the machines on which an agent has started, and the instances on which none has started yet.
type machines struct {
	agents        []*simAgent
	byName        map[string]*simAgent
	outputs       *fake.Outputs
	booting       []*fake.Instance // instances that were created and have no agent yet
	instancesSeen int              // number of the cloud's created instances that were added to booting so far
}

// agentByName returns the agent of a machine, or nil if none has started on the machine.
func (w *world) agentByName(name string) *simAgent { return w.machines.byName[name] }

// addMachine adds a machine that is up and listed from the start of the simulation.
func (w *world) addMachine(machineType, zone string, spot bool) {
	instance := w.cloud.CreateInstance(0, machineType, zone, spot)
	instance.BootedAt, instance.ListedAt = 0, 0
}

// bootMachines starts the agents of instances that have booted.
func (w *world) bootMachines() {
	m := &w.machines
	m.booting = append(m.booting, w.cloud.Created[m.instancesSeen:]...)
	m.instancesSeen = len(w.cloud.Created)
	m.booting = slices.DeleteFunc(m.booting, func(i *fake.Instance) bool {
		up := !i.Deleted && !i.Failed && !i.NeverBoots && !i.NeverHeartbeats && w.now >= i.BootedAt
		if up {
			w.bootAgent(i)
		}
		return up || i.Deleted
	})
}

// bootAgent starts the agent of an instance.
func (w *world) bootAgent(instance *fake.Instance) {
	var machineType wire.MachineType
	for _, t := range w.cloud.Types {
		if t.Name == instance.Type {
			machineType = t
		}
	}
	s := &simAgent{instance: instance, Agent: &fake.Agent{
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
	s.nextHeartbeatAt = w.now
	s.controllerIndex = w.rng.IntN(len(w.controllers))
	w.machines.agents = append(w.machines.agents, s)
	w.machines.byName[s.Name] = s
}

// workload provides the fake agents with the users' jobs and the behavior of their tasks.
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
	nth := l.world.users.failEveryNth[job.Ref]
	return nth > 0 && index%nth == 0
}

// observer passes the events of tasks to the rule checks.
type observer struct{ world *world }

// RunCommandExecuted implements fake.Observer.
func (o observer) RunCommandExecuted(agent *fake.Agent, t *fake.Task) {
	o.world.rules.history.checkRunCommand(agent.Name, t)
	ref, _, _ := strings.Cut(t.Task, "/")
	if cancelledAt, ok := o.world.users.cancelledAt[ref]; ok {
		o.world.rules.lateLaunch[ref] = o.world.now - cancelledAt
	}
}

// TaskStarted implements fake.Observer.
func (o observer) TaskStarted(agent *fake.Agent, t *fake.Task) {
	o.world.checkStart(o.world.agentByName(agent.Name), t)
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

// agentsRunning returns the agents of the machines with active tasks of a job.
func (w *world) agentsRunning(ref string) (agents []*simAgent) {
	for _, s := range w.machines.agents {
		if s.activeTasks(ref) > 0 {
			agents = append(agents, s)
		}
	}
	return agents
}

// countActive counts a job's active tasks on all machines.
func (w *world) countActive(ref string) (count int) {
	for _, s := range w.machines.agents {
		count += s.activeTasks(ref)
	}
	return count
}
