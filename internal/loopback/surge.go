package loopback

import (
	"context"
	"fmt"
	"slices"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Surge is a load test. All teams submit jobs at a steady rate. During the surge the first team multiplies its rate by
// Factor. The jobs are spread over all controllers.
type Surge struct {
	JobInterval time.Duration // between two jobs of one team at the steady rate
	Factor      int           // multiplies the first team's rate during the surge
	WarmUp      time.Duration // steady load before the surge
	Duration    time.Duration // length of the surge
	CoolDown    time.Duration // steady load after the surge, during which the load is still measured
}

// DefaultSurge returns a surge with ten times the steady rate. Its run takes almost five minutes.
func DefaultSurge() Surge {
	return Surge{
		JobInterval: 6 * time.Second,
		Factor:      10,
		WarmUp:      45 * time.Second,
		Duration:    time.Minute,
		CoolDown:    3 * time.Minute,
	}
}

// settleTime is the time from the start of a surge during which the result tolerates an uneven load.
const settleTime = 2 * time.Minute

// LoadSample is the load of the running machines at one point in time.
type LoadSample struct {
	AtS      float64 `json:"at_s"` // time of the sample, relative to the start of the surge
	Machines int     `json:"machines"`
	Mean     float64 `json:"mean"`
	Max      float64 `json:"greatest"`
}

// MaxToMean returns the ratio of the maximum load to the mean load, or 0 without load.
func (s LoadSample) MaxToMean() float64 {
	if s.Mean == 0 {
		return 0
	}
	return s.Max / s.Mean
}

// TeamWait summarizes the waits of a team's jobs. A job's wait lasts from its submission to the start of its first
// task.
type TeamWait struct {
	Team        string  `json:"team"`
	Jobs        int     `json:"jobs"`
	StartedJobs int     `json:"begun"`
	MedianS     float64 `json:"median_s"`
	LongestS    float64 `json:"most_s"`
}

// Result is the measurement of one surge.
type Result struct {
	Samples []LoadSample `json:"samples"`
	// SettledMaxToMean is the maximum of LoadSample.MaxToMean from settleTime after the start of the surge.
	// SecondsAboveTwice is the number of seconds of that period in which MaxToMean was above 2.
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

// Run applies the surge to a cluster and returns the measurement.
func (s Surge) Run(ctx context.Context, c *Cluster) (Result, error) {
	startedAt := time.Now()
	surgeStart := startedAt.Add(s.WarmUp)
	end := surgeStart.Add(s.Duration + s.CoolDown)
	refused := make(chan int, 1) // buffered so that the goroutine ends even if nothing receives its result
	go func() { refused <- s.submitAll(ctx, c, startedAt, surgeStart, end) }()
	var result Result
	if err := result.collectSamples(ctx, c, surgeStart, end); err != nil {
		<-refused
		return result, err
	}
	result.RefusedSubmissions = <-refused
	c.addTotals(&result)
	return result, nil
}

// collectSamples samples the load once a second until end.
func (r *Result) collectSamples(ctx context.Context, c *Cluster, surgeStart, end time.Time) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("surge: %w", ctx.Err())
		case <-ticker.C:
		}
		sample := c.SampleLoad()
		sample.AtS = time.Since(surgeStart).Seconds()
		r.Samples = append(r.Samples, sample)
		if time.Since(surgeStart) >= settleTime {
			r.SettledMaxToMean = max(r.SettledMaxToMean, sample.MaxToMean())
			if sample.MaxToMean() > 2 {
				r.SecondsAboveTwice++
			}
		}
	}
	return nil
}

// submitAll submits the jobs of all teams until end and returns the number of refused submissions.
func (s Surge) submitAll(ctx context.Context, c *Cluster, startedAt, surgeStart, end time.Time) (refused int) {
	teams := c.env.config.Teams
	dueTimes := make([]time.Time, len(teams)) // due time of each team's next job
	for i := range dueTimes {
		dueTimes[i] = startedAt.Add(s.JobInterval * time.Duration(i) / time.Duration(len(teams)))
	}
	for n := 0; ; n++ {
		due := slices.MinFunc(dueTimes, time.Time.Compare)
		team := slices.Index(dueTimes, due)
		if due.After(end) || !clock.Sleep(ctx, time.Until(due)) {
			return refused
		}
		interval := s.JobInterval
		if team == 0 && due.After(surgeStart) && due.Before(surgeStart.Add(s.Duration)) {
			interval /= time.Duration(s.Factor)
		}
		dueTimes[team] = due.Add(interval)
		job, runS := surgeJob(n, teams[team])
		if c.Submit(c.Controllers[n%len(c.Controllers)], job, runS) != nil {
			refused++
		}
	}
}

// surgeJob returns the n-th job and the actual run time of its tasks: two tasks of half a CPU that run for 20 to 120 s
// and save checkpoints. The run times and images vary from job to job, but in the same way on every run.
func surgeJob(n int, team string) (job wire.Job, runS float64) {
	const imageCount, minRunS, runRangeS, runStepS = 4, 20, 100, 37
	runS = float64(minRunS + n*runStepS%runRangeS)
	return wire.Job{
		Ref:         fmt.Sprintf("j-%06d", n+1),
		Class:       "results",
		Team:        team,
		Shape:       wire.ShapeBatch,
		Priority:    wire.PriorityStandard,
		Tasks:       2,
		CPUs:        0.5,
		MemoryGB:    0.5,
		Image:       fmt.Sprint("img-", n%imageCount),
		ImageGB:     1,
		Spot:        true,
		EstimateS:   runS,
		CheckpointS: 5,
		SaveS:       1,
	}, runS
}

// SampleLoad measures the load of the machines that have booted and are not terminated.
func (c *Cluster) SampleLoad() (sample LoadSample) {
	c.env.call(func() {
		for _, m := range c.env.machines {
			if !m.booted || m.terminated {
				continue
			}
			sample.Machines++
			sample.Mean += m.Load()
			sample.Max = max(sample.Max, m.Load())
		}
	})
	if sample.Machines > 0 {
		sample.Mean /= float64(sample.Machines)
	}
	return sample
}

// addTotals adds the totals over the whole run to a result.
func (c *Cluster) addTotals(result *Result) {
	if _, leaderStatus := c.Leader(); leaderStatus.IsLeader {
		result.Migrations = leaderStatus.MigrationOutcomes
	}
	for _, controller := range c.Controllers {
		result.CPUSeconds += controller.CPUSeconds()
	}
	waitsByTeam := map[string][]float64{}
	c.env.call(func() {
		for _, m := range c.env.machines {
			result.ImageFetches += m.ImagesFetched
			result.LostSeconds += m.LostSeconds
		}
		for _, job := range c.env.jobs {
			_, repeated := job.completedTasks()
			result.RepeatedTasks += repeated
			waitsByTeam[job.spec.Team] = append(waitsByTeam[job.spec.Team], job.waitS())
		}
	})
	for _, team := range c.env.config.Teams {
		result.Waits = append(result.Waits, teamWait(team, waitsByTeam[team]))
	}
}

// notStarted is the value of waitS for a job that has not started.
const notStarted = -1

// waitS returns the time from a job's submission to the start of its first task, or notStarted.
func (j *submittedJob) waitS() float64 {
	if j.startedAt == 0 {
		return notStarted
	}
	return (j.startedAt - j.submittedAt).Seconds()
}

// teamWait summarizes the waits of a team's jobs. A wait of notStarted stands for a job that has not started.
func teamWait(team string, waits []float64) TeamWait {
	started := slices.DeleteFunc(slices.Sorted(slices.Values(waits)), func(s float64) bool { return s == notStarted })
	summary := TeamWait{Team: team, Jobs: len(waits), StartedJobs: len(started)}
	if len(started) > 0 {
		summary.MedianS, summary.LongestS = started[len(started)/2], started[len(started)-1]
	}
	return summary
}

// RunUntilCancelled submits jobs at the steady rate until ctx is cancelled. Each value received from surgeRequests
// starts a surge, during which only the first team submits jobs, at its increased rate.
func (s Surge) RunUntilCancelled(ctx context.Context, c *Cluster, surgeRequests <-chan struct{}) {
	teams := c.env.config.Teams
	var surgeEnd time.Time
	for n := 0; ; n++ {
		interval := s.JobInterval / time.Duration(len(teams))
		team := n % len(teams)
		if time.Now().Before(surgeEnd) {
			interval, team = s.JobInterval/time.Duration(s.Factor), 0
		}
		select {
		case <-ctx.Done():
			return
		case <-surgeRequests:
			surgeEnd = time.Now().Add(s.Duration)
		case <-time.After(interval):
		}
		job, runS := surgeJob(n, teams[team])
		// The operator sees refused submissions in the controllers' logs.
		_ = c.Submit(c.Controllers[n%len(c.Controllers)], job, runS)
	}
}
