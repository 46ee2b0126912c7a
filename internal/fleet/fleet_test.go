package fleet

import (
	"testing"

	"swiftledge/wire"
)

var small = wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, Price: 0.4, SpotPrice: 0.1, ZoneNames: []string{"a"}}
var spot, ordinary = Option{small, "a", true}, Option{small, "a", false}

func all(Option) bool { return true }

func total(os []Order, spotOnly bool) int {
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
	need := Need{CPUs: 2, Memory: 1, Spot: true, Tasks: 40, Seconds: 400}
	rent, _, _ := Plan([]Need{need}, nil, []Option{ordinary, spot}, p, all)
	if total(rent, true) != 10 || total(rent, false) != 0 {
		t.Errorf("rents %v, want 10 spot machines for 20 slots", rent)
	}
	rent, _, _ = Plan([]Need{need}, nil, []Option{ordinary, spot}, p, func(o Option) bool { return !o.Spot })
	if total(rent, false) != 2 {
		t.Errorf("rents %v, want 2 ordinary machines for 4 slots", rent)
	}
	need.Spot = false
	rent, _, _ = Plan([]Need{need}, nil, []Option{ordinary, spot}, p, all)
	if total(rent, true) != 0 || total(rent, false) != 10 {
		t.Errorf("rents %v for work that may not use spot machines", rent)
	}
}

func TestPlanReturnsWhatIsNotWanted(t *testing.T) {
	p := Params{SpotClearS: 20, OrdinaryClearS: 100}
	supply := []Supply{{Option: ordinary, Name: "o", Idle: true}, {Option: spot, Name: "s", Idle: true},
		{Option: spot, Name: "k", Idle: true, Keep: true}, {Option: ordinary, Name: "b"}}
	_, back, shun := Plan([]Need{{CPUs: 4, Spot: true, Tasks: 2, Seconds: 1000}}, supply, nil, p, all)
	if len(shun) != 1 || shun[0] != "b" {
		t.Errorf("shuns %v, want the busy ordinary machine", shun)
	}
	if len(back) != 1 || back[0] != "o" {
		t.Errorf("returns %v, want only the idle ordinary machine", back)
	}
}
