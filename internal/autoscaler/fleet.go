// Package autoscaler decides, without I/O, what to rent and what to return.
package autoscaler

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
	// LateS is by how much longer than usual its machines are expected to boot, as some lately did not come up.
	// Others that would do are rented before it; how many are needed does not depend on it.
	LateS float64
}

// Key names the option.
func (o Option) Key() OptionKey { return OptionKey{o.Type.Name, o.Zone, o.Spot} }

// OptionKey is what tells one option from another.
type OptionKey struct {
	Type, Zone string
	Spot       bool
}

// Price per hour of the option.
func (o Option) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

// Demand is work of one shape that wants machines.
type Demand struct {
	CPUs, GPUs, MemoryGB float64 // of one task
	Types                []string
	Zone                 string
	Spot                 bool
	Tasks                int     // that could run at once, within the teams' limits
	Seconds              float64 // task-seconds left
}

// Slots is how many tasks of the need one machine of the option takes; 0 if none may.
func (n *Demand) Slots(t *wire.MachineType, zone string, spot bool) int {
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
	if n.MemoryGB > 0 {
		s = min(s, t.MemoryGB/n.MemoryGB)
	}
	return int(s + 1e-9)
}

// Capacity is a machine that is there or coming.
type Capacity struct {
	Option
	Name string
	Up   bool
	Idle bool    // up, without a task
	Keep bool    // returning it now saves nothing or is not wanted yet
	Load float64 // part of its processors in use
}

// Params bound the wait that is worth a machine, and what is kept free for work
// that comes.
type Params struct{ SpotClearS, OrdinaryClearS, Reserve float64 }

// keepOrdinary is how far the wish for ordinary machines may fall before those
// that are there are given up: less would rent and return in turns.
const keepOrdinary = 1.4

// Launch is one rental to make.
type Launch struct {
	Option
	Count int
}

// Decision is what to rent, which idle machines to return, which busy ordinary ones
// to give no more work, so that they can be returned, and which busy cheap ones to
// leave alone while others have room, so that they empty.
type Decision struct {
	ScaleOut     []Launch
	ScaleIn      []string
	Cordon       []string
	Deprioritize []string
}

// pool hands out the machines' room to needs, in a fixed order of preference.
type pool struct {
	supply []Capacity
	kind   []int // of each machine, among the options that occur
	order  []int
	free   []float64 // part of each machine not yet spoken for
	from   int       // all before it in the order is spoken for
}

func newPool(supply []Capacity, kind, order []int) *pool {
	p := &pool{supply: supply, kind: kind, order: order, free: make([]float64, len(supply))}
	for i := range p.free {
		p.free[i] = 1
	}
	return p
}

// take speaks for slots until have reaches most, which may differ for ordinary
// machines; up is what of it can work at once.
func (p *pool) take(slots []int, most, mostOrdinary float64) (have, up float64) {
	for at := p.from; at < len(p.order); at++ {
		j := p.order[at]
		if p.free[j] <= 0 {
			if at == p.from {
				p.from++
			}
			continue
		}
		limit := most
		if !p.supply[j].Spot {
			limit = mostOrdinary
		}
		k := float64(slots[p.kind[j]])
		if k == 0 || have >= limit {
			if have >= most && have >= mostOrdinary {
				break
			}
			continue
		}
		n := min(p.free[j]*k, limit-have)
		p.free[j] -= n / k
		if p.free[j] < 1e-9 {
			p.free[j] = 0
		}
		have += n
		if p.supply[j].Up {
			up += n
		}
	}
	return have, up
}

// Plan decides about the fleet. allowed says whether an option may be asked for now.
func Plan(needs []Demand, supply []Capacity, options []Option, p Params, allowed func(Option) bool) Decision {
	var d Decision
	var kinds []Option
	kind := make([]int, len(supply))
	byKey := map[OptionKey]int{}
	for i := range supply {
		o := supply[i].Option
		k, ok := byKey[o.Key()]
		if !ok {
			k = len(kinds)
			byKey[o.Key()] = k
			kinds = append(kinds, o)
		}
		kind[i] = k
	}
	// Machines that cost least per hour are taken into account first, of these the
	// fullest: the others are those that empty soonest.
	order := make([]int, len(supply))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if c := cmp.Compare(priceStep(supply[a].Option), priceStep(supply[b].Option)); c != 0 {
			return c
		}
		if c := FalseFirst(supply[a].Idle, supply[b].Idle); c != 0 {
			return c
		}
		return cmp.Compare(supply[b].Load, supply[a].Load)
	})
	wanted, all := newPool(supply, kind, order), newPool(supply, kind, order)
	slots := make([]int, len(kinds))
	for i := range needs {
		n := &needs[i]
		for k := range kinds {
			slots[k] = n.Slots(&kinds[k].Type, kinds[k].Zone, kinds[k].Spot)
		}
		// Slots wanted at each willingness to wait; never more than can run at once.
		wantSpot := min(float64(n.Tasks), math.Ceil(n.Seconds/p.SpotClearS))
		wantOrdinary := min(float64(n.Tasks), math.Ceil(n.Seconds/p.OrdinaryClearS))
		if !n.Spot {
			wantOrdinary = wantSpot
		}
		// An ordinary machine is kept only while the wait without it would be
		// long; its slots are then worth more than their price.
		have, up := wanted.take(slots, wantSpot, min(wantSpot, wantOrdinary*keepOrdinary))
		room := math.Ceil(float64(n.Tasks) * (1 + p.Reserve))
		all.take(slots, room, room)
		d.ScaleOut = rent(d.ScaleOut, n, options, p, allowed, have, up)
	}
	d.ScaleOut = merge(d.ScaleOut)
	for _, j := range slices.Backward(order) {
		s := &supply[j]
		if s.Name == "" || !s.Up {
			continue
		}
		surplus := all.free[j] == 1
		if !s.Spot {
			surplus = wanted.free[j] == 1
		}
		switch {
		case !surplus:
		case s.Idle && !s.Keep:
			d.ScaleIn = append(d.ScaleIn, s.Name)
		case s.Idle:
		case !s.Spot:
			d.Cordon = append(d.Cordon, s.Name)
		default:
			d.Deprioritize = append(d.Deprioritize, s.Name)
		}
	}
	return d
}

// rent adds the orders that one need asks for beyond the slots it has.
func rent(out []Launch, n *Demand, options []Option, p Params, allowed func(Option) bool, have, up float64) []Launch {
	opts := slices.Clone(options)
	slices.SortStableFunc(opts, func(a, b Option) int {
		return cmp.Compare(perSlot(n, a), perSlot(n, b))
	})
	more := false // cheap ones are left to ask for in the next round
	for _, o := range opts {
		k := n.Slots(&o.Type, o.Zone, o.Spot)
		if k == 0 || !allowed(o) || more && !o.Spot {
			continue
		}
		clear := p.OrdinaryClearS
		if o.Spot || !n.Spot {
			clear = p.SpotClearS
		}
		// A machine rented now finds only the work that those that are up leave until then.
		left := n.Seconds - up*o.Type.BootS
		missing := min(float64(n.Tasks), math.Ceil(left/clear)) - have
		if missing <= 0 {
			continue
		}
		count := int(missing) / k
		// A machine that would be less than half used is worth it only if nothing smaller serves.
		if rest := missing - float64(count*k); rest > 0 && (rest*2 >= float64(k) || have == 0 && count == 0) {
			count++
		}
		// What one round can ask of an option; the rest falls to the others.
		if most := mostARound - ordered(out, o); count > most {
			count, more = most, true
		}
		if count > 0 {
			out = append(out, Launch{o, count})
			have += float64(count * k)
		}
	}
	return out
}

// MaxMachinesPerRequest is how many machines one request may ask for, mostARound how many are
// asked of one option before its answers are seen.
const MaxMachinesPerRequest, mostARound = 50, 100

func ordered(orders []Launch, o Option) (n int) {
	for _, x := range orders {
		if x.Key() == o.Key() {
			n += x.Count
		}
	}
	return n
}

// merge makes one order of all for the same option, the largest first: the cloud
// takes few requests a second.
func merge(orders []Launch) []Launch {
	var out []Launch
	for _, o := range orders {
		if ordered(out, o.Option) > 0 {
			continue
		}
		for n := ordered(orders, o.Option); n > 0; n -= MaxMachinesPerRequest {
			out = append(out, Launch{o.Option, min(n, MaxMachinesPerRequest)})
		}
	}
	slices.SortStableFunc(out, func(a, b Launch) int {
		return cmp.Compare(float64(b.Count)*b.Type.CPUs, float64(a.Count)*a.Type.CPUs)
	})
	return out
}

// priceStep groups prices that differ little: which of these machines to keep is
// better told by what runs on them.
func priceStep(o Option) float64 { return math.Floor(math.Log(max(unit(o), 1e-9)) / math.Log(1.5)) }

// FalseFirst compares two booleans for a sort order that puts false before true.
func FalseFirst(a, b bool) int {
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

func perSlot(n *Demand, o Option) float64 {
	k := n.Slots(&o.Type, o.Zone, o.Spot)
	if k == 0 {
		return math.Inf(1)
	}
	return o.Price() / float64(k) * (1 + (o.Type.BootS+o.LateS)/usedFor)
}
