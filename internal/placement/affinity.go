package placement

import (
	"math"
	"slices"

	"swiftledge/internal/clock"
)

// maxVisits is the maximum number of visits that are kept for an image (section IV.A of the paper).
const maxVisits = 10

// visit is the latest use of an image on a machine: the latest assignment of a task with the image to the machine, or
// the report that the machine has cached the image.
type visit struct {
	machine       string
	visitedAt     clock.Micros
	tasksAssigned int // number of tasks assigned to the machine up to and including this visit
}

// VisitHistory keeps, for each image, the visits to the machines that used the image most recently (at most maxVisits,
// newest first). It also keeps the number of tasks assigned to each machine.
type VisitHistory struct {
	visits        map[string][]visit // by image
	tasksAssigned map[string]int     // by machine
}

// NewVisitHistory returns an empty history.
func NewVisitHistory() *VisitHistory {
	return &VisitHistory{visits: map[string][]visit{}, tasksAssigned: map[string]int{}}
}

// RecordVisit records that a task with the image was assigned to the machine.
func (h *VisitHistory) RecordVisit(image, machine string, visitedAt clock.Micros) {
	h.tasksAssigned[machine]++
	h.add(image, machine, visitedAt)
}

// RecordCached adds a visit for an image that a machine has cached, unless the history already has a visit for this
// image and machine.
func (h *VisitHistory) RecordCached(image, machine string, visitedAt clock.Micros) {
	if !slices.ContainsFunc(h.visits[image], onMachine(machine)) {
		h.add(image, machine, visitedAt)
	}
}

// RemoveMachine removes from the history a machine that no longer exists.
func (h *VisitHistory) RemoveMachine(machine string) {
	delete(h.tasksAssigned, machine)
	for image, visits := range h.visits {
		h.visits[image] = slices.DeleteFunc(visits, onMachine(machine))
	}
}

func (h *VisitHistory) add(image, machine string, visitedAt clock.Micros) {
	visits := slices.DeleteFunc(h.visits[image], onMachine(machine))
	visits = slices.Insert(visits, 0, visit{machine, visitedAt, h.tasksAssigned[machine]})
	h.visits[image] = visits[:min(len(visits), maxVisits)]
}

// onMachine returns a predicate for visits to the machine.
func onMachine(machine string) func(visit) bool {
	return func(v visit) bool { return v.machine == machine }
}

// affinity returns the decayed affinity of a visit, which is 1 at first. It implements equation 2 of the paper, with α
// as (unstarted tasks on the machine + tasks assigned to it since the visit) · k.
func (h *VisitHistory) affinity(v visit, m *Machine, decayRate float64, now clock.Micros) float64 {
	alpha := float64(m.UnstartedTasks+h.tasksAssigned[m.Name]-v.tasksAssigned) * decayRate
	return math.Exp(-alpha * max(0, (now-v.visitedAt).Seconds()))
}
