// Package fleet decides, without I/O, what to rent and what to return.
package fleet

import (
	"cmp"
	"math"
	"slices"

	"swiftledge/wire"
)

// Option is a kind of machine that can be rented.
type Option struct {
	Type wire.MachineType
	Zone string
	Spot bool
}

// Price per hour of the option.
func (o Option) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

// Need is work of one shape that wants machines.
type Need struct {
	CPUs, GPUs, Memory float64 // of one task
	Types              []string
	Zone               string
	Spot               bool
	Tasks              int     // that could run at once, within the teams' limits
	Seconds            float64 // task-seconds left
}

// Slots is how many tasks of the need one machine of the option takes; 0 if none may.
func (n *Need) Slots(t *wire.MachineType, zone string, spot bool) int {
	if spot && !n.Spot || n.Zone != "" && n.Zone != zone || len(n.Types) > 0 && !slices.Contains(n.Types, t.Name) {
		return 0
	}
	s := 1e6
	if n.CPUs > 0 {
		s = min(s, t.CPUs/n.CPUs)
	}
	if n.GPUs > 0 {
		s = min(s, t.GPUs/n.GPUs)
	}
	if n.Memory > 0 {
		s = min(s, t.MemoryGB/n.Memory)
	}
	return int(s + 1e-9)
}

// Supply is a machine that is there or coming.
type Supply struct {
	Option
	Name string
	Idle bool // up, without a task
	Keep bool // returning it now saves nothing or is not wanted yet
}

// Params bound the wait that is worth a machine.
type Params struct{ SpotClearS, OrdinaryClearS float64 }

// keepOrdinary is how far the wish for ordinary machines may fall before those
// that are there are given up: less would rent and return in turns.
const keepOrdinary = 1.4

// Order is one rental to make.
type Order struct {
	Option
	Count int
}

// Plan decides what to rent, which idle machines to return and which busy
// ordinary ones to give no more work, so that they can be returned. allowed says
// whether an option may be asked for now.
func Plan(needs []Need, supply []Supply, options []Option, p Params, allowed func(Option) bool) (rent []Order, giveBack, shun []string) {
	free := make([]float64, len(supply)) // part of each machine not yet spoken for
	for i := range free {
		free[i] = 1
	}
	// Machines that cost least per hour are taken into account first.
	order := make([]int, len(supply))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if c := cmp.Compare(unit(supply[a].Option), unit(supply[b].Option)); c != 0 {
			return c
		}
		return boolCmp(supply[a].Idle, supply[b].Idle)
	})
	for i := range needs {
		n := &needs[i]
		// Slots wanted at each willingness to wait; never more than can run at once.
		wantSpot := min(float64(n.Tasks), math.Ceil(n.Seconds/p.SpotClearS))
		wantOrdinary := min(float64(n.Tasks), math.Ceil(n.Seconds/p.OrdinaryClearS))
		if !n.Spot {
			wantOrdinary = wantSpot
		}
		have := 0.0
		for _, j := range order {
			s := &supply[j]
			// An ordinary machine is kept only while the wait without it would be
			// long; its slots are then worth more than their price.
			most := wantSpot
			if !s.Spot {
				most = min(wantSpot, wantOrdinary*keepOrdinary)
			}
			if have >= most {
				continue
			}
			if k := n.Slots(&s.Type, s.Zone, s.Spot); k > 0 && free[j] > 0 {
				take := min(free[j]*float64(k), most-have)
				free[j] -= take / float64(k)
				have += take
			}
		}
		opts := slices.Clone(options)
		slices.SortStableFunc(opts, func(a, b Option) int {
			return cmp.Compare(perSlot(n, a), perSlot(n, b))
		})
		for _, o := range opts {
			k := n.Slots(&o.Type, o.Zone, o.Spot)
			if k == 0 || !allowed(o) {
				continue
			}
			want := wantOrdinary
			if o.Spot {
				want = wantSpot
			}
			missing := want - have
			if missing <= 0 {
				continue
			}
			count := int(missing) / k
			// A machine that would be less than half used is worth it only if nothing smaller serves.
			if rest := missing - float64(count*k); rest > 0 && (rest*2 >= float64(k) || have == 0 && count == 0) {
				count++
			}
			count = min(count, 50)
			if count > 0 {
				rent = append(rent, Order{o, count})
				have += float64(count * k)
			}
		}
	}
	for _, j := range slices.Backward(order) {
		s := &supply[j]
		if s.Name == "" || s.Keep || free[j] < 1-1e-9 {
			continue
		}
		if s.Idle {
			giveBack = append(giveBack, s.Name)
		} else if !s.Spot {
			shun = append(shun, s.Name)
		}
	}
	return rent, giveBack, shun
}

func boolCmp(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func unit(o Option) float64 { return o.Price() / max(o.Type.CPUs, 1e-6) }

// usedFor is how long a rented machine is taken to be used when its boot time,
// which is paid for too, is spread over its price.
const usedFor = 120

func perSlot(n *Need, o Option) float64 {
	k := n.Slots(&o.Type, o.Zone, o.Spot)
	if k == 0 {
		return math.Inf(1)
	}
	return o.Price() / float64(k) * (1 + o.Type.BootS/usedFor)
}
