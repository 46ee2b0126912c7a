package loopback

import (
	"context"
	"fmt"
	"slices"
	"time"

	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Surge is a steady load by all teams, then ten times its usual volume by the first of them, submitted at
// every controller.
type Surge struct {
	Every  time.Duration // between two jobs of each team, before the surge
	Times  int           // by which the first team's volume grows
	Before time.Duration // of steady load alone
	Lasts  time.Duration
	After  time.Duration // that is watched once the surge is over
}

// DefaultSurge takes five minutes.
func DefaultSurge() Surge {
	return Surge{Every: 6 * time.Second, Times: 10, Before: 45 * time.Second, Lasts: time.Minute, After: 3 * time.Minute}
}

// settleTime is how long after its beginning a surge may leave machines uneven.
const settleTime = 2 * time.Minute

// Sample is the load over the machines that are up at one moment.
type Sample struct {
	AtS      float64 `json:"at_s"` // since the surge began
	Machines int     `json:"machines"`
	Mean     float64 `json:"mean"`
	Greatest float64 `json:"greatest"`
}

// OverMean is the greatest load in multiples of the mean.
func (s Sample) OverMean() float64 {
	if s.Mean == 0 {
		return 0
	}
	return s.Greatest / s.Mean
}

// Wait is how long a team's jobs waited for their first task to have its image.
type Wait struct {
	Team    string  `json:"team"`
	Jobs    int     `json:"jobs"`
	Begun   int     `json:"begun"`
	MedianS float64 `json:"median_s"`
	MostS   float64 `json:"most_s"`
}

// Result is what was measured of one surge.
type Result struct {
	Samples []Sample `json:"samples"`
	// WorstSettled is the greatest load over the mean from two minutes after the surge began, and AboveTwice
	// for how many seconds of that time it was above two.
	WorstSettled float64                `json:"worst_settled"`
	AboveTwice   int                    `json:"seconds_above_twice"`
	Moves        peer.MigrationOutcomes `json:"moves"`
	Fetches      int                    `json:"image_fetches"`
	RedoneS      float64                `json:"redone_s"`
	CPUSeconds   float64                `json:"controllers_cpu_s"`
	Refused      int                    `json:"submissions_refused"`
	Waits        []Wait                 `json:"waits"`
	Again        int                    `json:"tasks_completed_twice"`
}

// Play plays the surge on the cluster and measures it.
func (s Surge) Play(ctx context.Context, c *Cluster) (Result, error) {
	var r Result
	begin := time.Now()
	surge := begin.Add(s.Before)
	end := surge.Add(s.Lasts + s.After)
	submitted := make(chan int)
	go func() { submitted <- s.submitAll(ctx, c, begin, surge, end) }()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return r, fmt.Errorf("surge: %w", ctx.Err())
		case <-second.C:
		}
		sample := c.Sample()
		sample.AtS = time.Since(surge).Seconds()
		r.Samples = append(r.Samples, sample)
		if time.Since(surge) >= settleTime {
			r.WorstSettled = max(r.WorstSettled, sample.OverMean())
			if sample.OverMean() > 2 {
				r.AboveTwice++
			}
		}
	}
	r.Refused = <-submitted
	c.sumUp(&r)
	return r, nil
}

// submitAll submits the jobs of all teams until the end, and says how many submissions were refused.
func (s Surge) submitAll(ctx context.Context, c *Cluster, begin, surge, end time.Time) (refused int) {
	teams := c.site.shape.Teams
	due := make([]time.Time, len(teams))
	for i := range due {
		due[i] = begin.Add(s.Every * time.Duration(i) / time.Duration(len(teams)))
	}
	for n := 0; ; n++ {
		first := slices.MinFunc(due, time.Time.Compare)
		team := slices.Index(due, first)
		if first.After(end) || !sleepUntil(ctx, first) {
			return refused
		}
		every := s.Every
		if team == 0 && first.After(surge) && first.Before(surge.Add(s.Lasts)) {
			every /= time.Duration(s.Times)
		}
		due[team] = first.Add(every)
		j, runS := surgeJob(n, teams[team])
		if c.Submit(c.Controllers[n%len(c.Controllers)], j, runS) != nil {
			refused++
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// surgeJob is one of the jobs: two tasks of half a processor that run for 20 to 120 s and can save. Run
// times and images differ from job to job in the same way on every run.
func surgeJob(n int, team string) (wire.Job, float64) {
	const images, leastRunS, spreadS = 4, 20, 100
	runS := float64(leastRunS + n*37%spreadS)
	return wire.Job{Ref: fmt.Sprintf("j-%06d", n+1), Class: "results", Team: team, Shape: wire.ShapeBatch, Priority: wire.PriorityStandard, Tasks: 2, CPUs: 0.5,
		MemoryGB: 0.5, Image: fmt.Sprint("img-", n%images), ImageGB: 1, Spot: true, EstimateS: runS, CheckpointS: 5, SaveS: 1}, runS
}

// Sample looks at the load of the machines that are up.
func (c *Cluster) Sample() (s Sample) {
	c.site.do(func() {
		for _, w := range c.site.workers {
			if !w.up || w.dead {
				continue
			}
			s.Machines++
			s.Mean += w.Load()
			s.Greatest = max(s.Greatest, w.Load())
		}
	})
	if s.Machines > 0 {
		s.Mean /= float64(s.Machines)
	}
	return s
}

// sumUp adds what is counted over the whole run.
func (c *Cluster) sumUp(r *Result) {
	if _, s := c.Leader(); s.Leading {
		r.Moves = s.MigrationOutcomes
	}
	for _, k := range c.Controllers {
		r.CPUSeconds += k.CPUSeconds()
	}
	waits := map[string][]float64{}
	c.site.do(func() {
		for _, w := range c.site.workers {
			r.Fetches += w.ImagesFetched
			r.RedoneS += w.LostSeconds
		}
		for _, j := range c.site.jobs {
			for _, n := range j.ran {
				if n > 1 {
					r.Again++
				}
			}
			wait := -1.0
			if j.began > 0 {
				wait = (j.began - j.submitted).Seconds()
			}
			waits[j.spec.Team] = append(waits[j.spec.Team], wait)
		}
	})
	for _, team := range c.site.shape.Teams {
		r.Waits = append(r.Waits, waitOf(team, waits[team]))
	}
}

// waitOf sums up waits; those below zero have not ended.
func waitOf(team string, all []float64) Wait {
	begun := slices.DeleteFunc(slices.Sorted(slices.Values(all)), func(s float64) bool { return s < 0 })
	w := Wait{Team: team, Jobs: len(all), Begun: len(begun)}
	if len(begun) > 0 {
		w.MedianS, w.MostS = begun[len(begun)/2], begun[len(begun)-1]
	}
	return w
}

// Endless keeps the steady load up until ctx ends, with a surge whenever one is asked for.
func (s Surge) Endless(ctx context.Context, c *Cluster, surges <-chan struct{}) {
	teams := c.site.shape.Teams
	var until time.Time
	for n := 0; ; n++ {
		every := s.Every / time.Duration(len(teams))
		team := n % len(teams)
		if time.Now().Before(until) {
			every, team = s.Every/time.Duration(s.Times), 0
		}
		select {
		case <-ctx.Done():
			return
		case <-surges:
			until = time.Now().Add(s.Lasts)
		case <-time.After(every):
		}
		j, runS := surgeJob(n, teams[team])
		// A refusal is for the operator to see in the controllers' logs.
		_ = c.Submit(c.Controllers[n%len(c.Controllers)], j, runS)
	}
}
