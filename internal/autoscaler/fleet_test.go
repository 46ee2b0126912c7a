package autoscaler

import (
	"testing"

	"swiftledge/wire"
)

var small = wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, Price: 0.4, SpotPrice: 0.1, ZoneNames: []string{"a"}}
var spot, ordinary = Option{Type: small, Zone: "a", Spot: true}, Option{Type: small, Zone: "a"}

func all(Option) bool { return true }

func total(os []Launch, spotOnly bool) int {
	n := 0
	for _, o := range os {
		if o.Spot == spotOnly {
			n += o.Count
		}
	}
	return n
}

func TestPlanRentsCheapFirst(t *testing.T) {
	p := Params{SpotClearS: 20, OrdinaryClearS: 100}
	need := Demand{CPUs: 2, MemoryGB: 1, Spot: true, Tasks: 40, Seconds: 400}
	rent := Plan([]Demand{need}, nil, []Option{ordinary, spot}, p, all).ScaleOut
	if total(rent, true) != 10 || total(rent, false) != 0 {
		t.Errorf("rents %v, want 10 spot machines for 20 slots", rent)
	}
	rent = Plan([]Demand{need}, nil, []Option{ordinary, spot}, p, func(o Option) bool { return !o.Spot }).ScaleOut
	if total(rent, false) != 2 {
		t.Errorf("rents %v, want 2 ordinary machines for 4 slots", rent)
	}
	need.Spot = false
	rent = Plan([]Demand{need}, nil, []Option{ordinary, spot}, p, all).ScaleOut
	if total(rent, true) != 0 || total(rent, false) != 10 {
		t.Errorf("rents %v for work that may not use spot machines", rent)
	}
}

func TestPlanReturnsWhatIsNotWanted(t *testing.T) {
	p := Params{SpotClearS: 20, OrdinaryClearS: 100}
	supply := []Capacity{{Option: ordinary, Name: "o", Up: true, Idle: true}, {Option: spot, Name: "s", Up: true, Idle: true},
		{Option: spot, Name: "k", Up: true, Idle: true, Keep: true}, {Option: ordinary, Name: "b", Up: true}}
	d := Plan([]Demand{{CPUs: 4, Spot: true, Tasks: 2, Seconds: 1000}}, supply, nil, p, all)
	if len(d.Cordon) != 1 || d.Cordon[0] != "b" {
		t.Errorf("cordons %v, want the busy ordinary machine", d.Cordon)
	}
	if len(d.ScaleIn) != 1 || d.ScaleIn[0] != "o" {
		t.Errorf("returns %v, want only the idle ordinary machine", d.ScaleIn)
	}
}

// Ordinary machines are not rented while cheap ones are only left for the next round.
func TestPlanAsksCheapOnesInRounds(t *testing.T) {
	need := Demand{CPUs: 2, MemoryGB: 1, Spot: true, Tasks: 1000, Seconds: 90000}
	p := Params{SpotClearS: 20, OrdinaryClearS: 100}
	rent := Plan([]Demand{need}, nil, []Option{ordinary, spot}, p, all).ScaleOut
	if total(rent, true) != mostARound || total(rent, false) != 0 {
		t.Errorf("rents %v, want %d cheap machines and no other", rent, mostARound)
	}
	for _, o := range rent {
		if o.Count > MaxMachinesPerRequest {
			t.Errorf("asks for %d machines at once", o.Count)
		}
	}
}

// What runs fits into fewer machines: the emptiest are left alone so that they can go.
func TestPlanRestsTheEmptiest(t *testing.T) {
	p := Params{SpotClearS: 20, OrdinaryClearS: 100, Reserve: 0.5}
	var supply []Capacity
	for i, load := range []float64{0.25, 1, 0.5, 0.25} {
		supply = append(supply, Capacity{Option: spot, Name: string(rune('a' + i)), Up: true, Load: load})
	}
	d := Plan([]Demand{{CPUs: 1, Spot: true, Tasks: 8, Seconds: 80}}, supply, nil, p, all)
	if len(d.Deprioritize) != 1 || d.Deprioritize[0] != "d" {
		t.Errorf("rests %v, want d: 12 slots are kept for 8 tasks", d.Deprioritize)
	}
}

// A machine that takes longer to boot than the others need for all the work is not rented.
func TestPlanCountsWhatIsDoneMeanwhile(t *testing.T) {
	slow := spot
	slow.Type.BootS = 30
	supply := []Capacity{{Option: slow, Name: "a", Up: true}}
	p := Params{SpotClearS: 10, OrdinaryClearS: 100}
	need := Demand{CPUs: 1, Spot: true, Tasks: 100, Seconds: 120}
	if d := Plan([]Demand{need}, supply, []Option{slow}, p, all); len(d.ScaleOut) != 0 {
		t.Errorf("rents %v for work that is done before they are up", d.ScaleOut)
	}
	need.Seconds = 400
	if d := Plan([]Demand{need}, supply, []Option{slow}, p, all); total(d.ScaleOut, true) != 6 {
		t.Errorf("rents %v, want 6 machines for what is left", d.ScaleOut)
	}
}

// Of two options that would do the one whose machines come up is rented first; how many does not depend on it.
func TestLateOptionsComeLast(t *testing.T) {
	small := wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, Price: 0.3, SpotPrice: 0.1, BootS: 30, ZoneNames: []string{"a", "b"}}
	need := []Demand{{CPUs: 1, MemoryGB: 1, Spot: true, Tasks: 40, Seconds: 4000}}
	options := []Option{{Type: small, Zone: "a", Spot: true, LateS: 60}, {Type: small, Zone: "b", Spot: true}}
	params := Params{SpotClearS: 25, OrdinaryClearS: 200, Reserve: 0.4}
	all := func(Option) bool { return true }
	d := Plan(need, nil, options, params, all)
	if len(d.ScaleOut) != 1 || d.ScaleOut[0].Zone != "b" || d.ScaleOut[0].Count != 10 {
		t.Errorf("rents %+v, want 10 in b", d.ScaleOut)
	}
	d = Plan(need, nil, options[:1], params, all)
	if len(d.ScaleOut) != 1 || d.ScaleOut[0].Count != 10 {
		t.Errorf("rents %+v, want 10 though they are late", d.ScaleOut)
	}
}
