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
	JobInterval time.Duration // between two jobs of each team, before the surge
	Factor      int           // by which the first team's volume grows
	WarmUp      time.Duration // of steady load alone
	Duration    time.Duration
	CoolDown    time.Duration // that is watched once the surge is over
}

// DefaultSurge takes five minutes.
func DefaultSurge() Surge {
	return Surge{
		JobInterval: 6 * time.Second,
		Factor:      10,
		WarmUp:      45 * time.Second,
		Duration:    time.Minute,
		CoolDown:    3 * time.Minute,
	}
}

// settleTime is how long after its beginning a surge may leave machines uneven.
const settleTime = 2 * time.Minute

// LoadSample is the load over the machines that are up at one moment.
type LoadSample struct {
	AtS      float64 `json:"at_s"` // since the surge began
	Machines int     `json:"machines"`
	Mean     float64 `json:"mean"`
	Max      float64 `json:"greatest"`
}

// MaxToMean is the greatest load in multiples of the mean.
func (s LoadSample) MaxToMean() float64 {
	if s.Mean == 0 {
		return 0
	}
	return s.Max / s.Mean
}

// TeamWait is how long a team's jobs waited for their first task to have its image.
type TeamWait struct {
	Team        string  `json:"team"`
	Jobs        int     `json:"jobs"`
	StartedJobs int     `json:"begun"`
	MedianS     float64 `json:"median_s"`
	LongestS    float64 `json:"most_s"`
}

// Result is what was measured of one surge.
type Result struct {
	Samples []LoadSample `json:"samples"`
	// SettledMaxToMean is the greatest load over the mean from two minutes after the surge began, and AboveTwice
	// for how many seconds of that time it was above two.
	SettledMaxToMean   float64                `json:"worst_settled"`
	SecondsAboveTwice  int                    `json:"seconds_above_twice"`
	Migrations         peer.MigrationOutcomes `json:"moves"`
	ImageFetches       int                    `json:"image_fetches"`
	LostSeconds        float64                `json:"redone_s"`
	CPUSeconds         float64                `json:"controllers_cpu_s"`
	RefusedSubmissions int                    `json:"submissions_refused"`
	Waits              []TeamWait             `json:"waits"`
	RepeatedTasks      int                    `json:"tasks_completed_twice"`
}

// Run plays the surge on the cluster and measures it.
func (s Surge) Run(ctx context.Context, c *Cluster) (Result, error) {
	begin := time.Now()
	surge := begin.Add(s.WarmUp)
	end := surge.Add(s.Duration + s.CoolDown)
	refused := make(chan int, 1) // so that the submissions end also when nobody waits for them
	go func() { refused <- s.submitAll(ctx, c, begin, surge, end) }()
	var r Result
	if err := r.collectSamples(ctx, c, surge, end); err != nil {
		<-refused
		return r, err
	}
	r.RefusedSubmissions = <-refused
	c.addTotals(&r)
	return r, nil
}

// collectSamples measures the load once a second until the end.
func (r *Result) collectSamples(ctx context.Context, c *Cluster, surge, end time.Time) error {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("surge: %w", ctx.Err())
		case <-second.C:
		}
		sample := c.SampleLoad()
		sample.AtS = time.Since(surge).Seconds()
		r.Samples = append(r.Samples, sample)
		if time.Since(surge) >= settleTime {
			r.SettledMaxToMean = max(r.SettledMaxToMean, sample.MaxToMean())
			if sample.MaxToMean() > 2 {
				r.SecondsAboveTwice++
			}
		}
	}
	return nil
}

// submitAll submits the jobs of all teams until the end, and says how many submissions were refused.
func (s Surge) submitAll(ctx context.Context, c *Cluster, begin, surge, end time.Time) (refused int) {
	teams := c.environment.config.Teams
	due := make([]time.Time, len(teams))
	for i := range due {
		due[i] = begin.Add(s.JobInterval * time.Duration(i) / time.Duration(len(teams)))
	}
	for n := 0; ; n++ {
		first := slices.MinFunc(due, time.Time.Compare)
		team := slices.Index(due, first)
		if first.After(end) || !sleepUntil(ctx, first) {
			return refused
		}
		every := s.JobInterval
		if team == 0 && first.After(surge) && first.Before(surge.Add(s.Duration)) {
			every /= time.Duration(s.Factor)
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
func surgeJob(n int, team string) (job wire.Job, runS float64) {
	const images, minRunS, rangeS, stepS = 4, 20, 100, 37
	runS = float64(minRunS + n*stepS%rangeS)
	return wire.Job{
		Ref:         fmt.Sprintf("j-%06d", n+1),
		Class:       "results",
		Team:        team,
		Shape:       wire.ShapeBatch,
		Priority:    wire.PriorityStandard,
		Tasks:       2,
		CPUs:        0.5,
		MemoryGB:    0.5,
		Image:       fmt.Sprint("img-", n%images),
		ImageGB:     1,
		Spot:        true,
		EstimateS:   runS,
		CheckpointS: 5,
		SaveS:       1,
	}, runS
}

// SampleLoad looks at the load of the machines that are up.
func (c *Cluster) SampleLoad() (s LoadSample) {
	c.environment.call(func() {
		for _, w := range c.environment.machines {
			if !w.booted || w.terminated {
				continue
			}
			s.Machines++
			s.Mean += w.Load()
			s.Max = max(s.Max, w.Load())
		}
	})
	if s.Machines > 0 {
		s.Mean /= float64(s.Machines)
	}
	return s
}

// addTotals adds what is counted over the whole run.
func (c *Cluster) addTotals(r *Result) {
	if _, s := c.Leader(); s.IsLeader {
		r.Migrations = s.MigrationOutcomes
	}
	for _, k := range c.Controllers {
		r.CPUSeconds += k.CPUSeconds()
	}
	waits := map[string][]float64{}
	c.environment.call(func() {
		for _, w := range c.environment.machines {
			r.ImageFetches += w.ImagesFetched
			r.LostSeconds += w.LostSeconds
		}
		for _, j := range c.environment.jobs {
			_, repeated := j.completedTasks()
			r.RepeatedTasks += repeated
			waits[j.spec.Team] = append(waits[j.spec.Team], j.waitS())
		}
	})
	for _, team := range c.environment.config.Teams {
		r.Waits = append(r.Waits, teamWait(team, waits[team]))
	}
}

// notStarted is the wait of a job that has not started.
const notStarted = -1

// waitS is how long a job waited until its first task had its image.
func (j *submittedJob) waitS() float64 {
	if j.startedAt == 0 {
		return notStarted
	}
	return (j.startedAt - j.submittedAt).Seconds()
}

// teamWait sums up the waits of a team's jobs.
func teamWait(team string, all []float64) TeamWait {
	started := slices.DeleteFunc(slices.Sorted(slices.Values(all)), func(s float64) bool { return s == notStarted })
	w := TeamWait{Team: team, Jobs: len(all), StartedJobs: len(started)}
	if len(started) > 0 {
		w.MedianS, w.LongestS = started[len(started)/2], started[len(started)-1]
	}
	return w
}

// RunUntilCancelled keeps the steady load up until ctx ends, with a surge whenever one is asked for.
func (s Surge) RunUntilCancelled(ctx context.Context, c *Cluster, surges <-chan struct{}) {
	teams := c.environment.config.Teams
	var until time.Time
	for n := 0; ; n++ {
		every := s.JobInterval / time.Duration(len(teams))
		team := n % len(teams)
		if time.Now().Before(until) {
			every, team = s.JobInterval/time.Duration(s.Factor), 0
		}
		select {
		case <-ctx.Done():
			return
		case <-surges:
			until = time.Now().Add(s.Duration)
		case <-time.After(every):
		}
		j, runS := surgeJob(n, teams[team])
		// A refusal is for the operator to see in the controllers' logs.
		_ = c.Submit(c.Controllers[n%len(c.Controllers)], j, runS)
	}
}
