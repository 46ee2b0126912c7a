package placement

import (
	"math"
	"slices"

	"swiftledge/internal/clock"
)

// maxVisits is how many machine visits are kept for an image (section IV.A of the paper).
const maxVisits = 10

// visit is the latest use of an image on a machine.
type visit struct {
	machine  string
	at       clock.Micros
	tasksRun int // the machine's count of tasks at the visit, this one included
}

// VisitHistory keeps the latest machine visits of each image, newest first, and how many tasks each machine was
// given.
type VisitHistory struct {
	visits   map[string][]visit // by image
	tasksRun map[string]int     // by machine
}

// NewVisitHistory returns an empty history.
func NewVisitHistory() *VisitHistory {
	return &VisitHistory{visits: map[string][]visit{}, tasksRun: map[string]int{}}
}

// RecordVisit records that a task with the image was given to the machine.
func (h *VisitHistory) RecordVisit(image, machine string, at clock.Micros) {
	h.tasksRun[machine]++
	h.add(image, machine, at)
}

// RecordCached adds a visit for an image that a machine reports as cached, unless it is listed there already.
func (h *VisitHistory) RecordCached(image, machine string, at clock.Micros) {
	if !slices.ContainsFunc(h.visits[image], onMachine(machine)) {
		h.add(image, machine, at)
	}
}

// RemoveMachine removes a machine that no longer exists.
func (h *VisitHistory) RemoveMachine(machine string) {
	delete(h.tasksRun, machine)
	for image, visits := range h.visits {
		h.visits[image] = slices.DeleteFunc(visits, onMachine(machine))
	}
}

func (h *VisitHistory) add(image, machine string, at clock.Micros) {
	visits := slices.DeleteFunc(h.visits[image], onMachine(machine))
	visits = slices.Insert(visits, 0, visit{machine, at, h.tasksRun[machine]})
	h.visits[image] = visits[:min(len(visits), maxVisits)]
}

// onMachine returns a predicate that reports whether a visit was on the machine.
func onMachine(machine string) func(visit) bool {
	return func(v visit) bool { return v.machine == machine }
}

// affinity returns what is left of a visit's affinity, which is 1 at first: equation 2 of the paper with the
// design's α, (tasks waiting + tasks run since the visit) · k.
func (h *VisitHistory) affinity(v visit, m *Machine, decayRate float64, now clock.Micros) float64 {
	alpha := float64(m.UnstartedTasks+h.tasksRun[m.Name]-v.tasksRun) * decayRate
	return math.Exp(-alpha * max(0, (now-v.at).Seconds()))
}
