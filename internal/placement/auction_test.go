package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// randomAuction returns a random cycle with a few machines and image visits, and tasks for one auction.
func randomAuction(seed uint64) (Cycle, []auctionTask) {
	random := rand.New(rand.NewPCG(seed, 7))
	cycle := Cycle{History: NewVisitHistory(), Now: 100 * clock.Second,
		Params: Params{DecayRate: 0.001, Eta: 0.05, Epsilon: 0.001, LoadOffset: 0.5}}
	for i := range 1 + random.IntN(5) {
		cycle.Machines = append(cycle.Machines, &Machine{Name: fmt.Sprint("m", i),
			Free: load.Resources{CPUs: float64(1 + random.IntN(4))}, UnstartedTasks: random.IntN(4)})
	}
	for range random.IntN(20) {
		image := fmt.Sprint("i", random.IntN(3))
		machine := cycle.Machines[random.IntN(len(cycle.Machines))].Name
		cycle.History.RecordVisit(image, machine, clock.Micros(random.Int64N(int64(cycle.Now))))
	}
	var tasks []auctionTask
	for i := range 1 + random.IntN(len(cycle.Machines)) {
		group := &Group{Job: fmt.Sprint(i), Image: fmt.Sprint("i", random.IntN(3)),
			Request: load.Resources{CPUs: float64(random.IntN(3))}}
		tasks = append(tasks, auctionTask{group, 0, none})
	}
	return cycle, tasks
}

// weightMatrix returns the weights of an auction by task and machine, computed by equation 4 of the paper. The weight
// is 0 where there is no edge.
func weightMatrix(cycle Cycle, tasks []auctionTask) [][]float64 {
	weights := make([][]float64, len(tasks))
	for i, task := range tasks {
		weights[i] = make([]float64, len(cycle.Machines))
		for k, machine := range cycle.Machines {
			affinity := affinityOf(cycle.History, task.group.Image, machine, cycle.Params.DecayRate, cycle.Now)
			if task.group.Fits(machine) && affinity > cycle.Params.Eta {
				weights[i][k] = affinity / (float64(machine.UnstartedTasks) + cycle.Params.LoadOffset)
			}
		}
	}
	return weights
}

// bestTotalWeight returns the largest total weight of any matching of the tasks from index first on with the unused
// machines, by exhaustive search.
func bestTotalWeight(weights [][]float64, first int, used []bool) float64 {
	if first == len(weights) {
		return 0
	}
	best := bestTotalWeight(weights, first+1, used)
	for machine, weight := range weights[first] {
		if weight > 0 && !used[machine] {
			used[machine] = true
			best = math.Max(best, weight+bestTotalWeight(weights, first+1, used))
			used[machine] = false
		}
	}
	return best
}

// The total weight of an auction of n tasks is within n·ε of the best matching.
func TestAuctionIsNearOptimal(t *testing.T) {
	for seed := range uint64(300) {
		cycle, tasks := randomAuction(seed)
		weights := weightMatrix(cycle, tasks)
		newPlacer(cycle).auction(tasks)
		totalWeight := 0.0
		assigned := map[int]bool{}
		for i, task := range tasks {
			if task.machine == none {
				continue
			}
			if assigned[task.machine] || !task.group.Fits(cycle.Machines[task.machine]) {
				t.Fatalf("seed %d: machine %d was assigned twice, or to a task that does not fit on it", seed, task.machine)
			}
			assigned[task.machine] = true
			totalWeight += weights[i][task.machine]
		}
		bestWeight := bestTotalWeight(weights, 0, make([]bool, len(cycle.Machines)))
		if totalWeight < bestWeight-float64(len(tasks))*cycle.Params.Epsilon-1e-9 {
			t.Errorf("seed %d: total weight %.4f, want at most n·ε less than the best total weight %.4f", seed, totalWeight, bestWeight)
		}
	}
}
