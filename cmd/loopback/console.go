package main

import (
	"fmt"
	"io"

	"swiftledge/internal/loopback"
	"swiftledge/internal/status"
	"swiftledge/wire"
)

// firstFaultyJobNumber is the number of the first faulty job. It is above the numbers of the jobs of the steady load.
const firstFaultyJobNumber = 900001

// console executes an operator's commands on a cluster.
type console struct {
	cluster       *loopback.Cluster
	out           io.Writer
	surge         loopback.Surge
	surgeRequests chan<- struct{} // each value starts a surge

	pausedController *loopback.Controller // resumed by the resume command; nil: none is paused
	faultyJobs       []string             // references of the jobs that the cancel command cancels
}

// commands returns the functions that execute the commands, by command name.
func (c *console) commands() map[string]func() error {
	return map[string]func() error{
		"surge":    c.startSurge,
		"load":     c.printLoad,
		"status":   c.printStatus,
		"kill":     c.killLeader,
		"start":    c.startControllers,
		"pause":    c.pauseLeader,
		"resume":   c.resumeController,
		"mistaken": c.submitFaultyJob,
		"cancel":   c.cancelFaultyJobs,
	}
}

func (c *console) startSurge() error {
	c.surgeRequests <- struct{}{}
	fmt.Fprintln(c.out, "surge started: one team submits jobs at ten times its usual rate for", c.surge.Duration)
	return nil
}

func (c *console) printLoad() error {
	sample := c.cluster.SampleLoad()
	fmt.Fprintf(c.out, "%d machines, mean load %.2f, maximum load %.2f (%.2f times the mean)\n",
		sample.Machines, sample.Mean, sample.Max, sample.MaxToMean())
	return nil
}

func (c *console) printStatus() error {
	return status.WriteTable(c.out, c.cluster.Status(), status.WithoutMachines)
}

func (c *console) killLeader() error {
	leader, _ := c.cluster.Leader()
	if leader == nil {
		return nil
	}
	leader.Kill()
	fmt.Fprintln(c.out, leader.Name, "was the leader and was killed; `start` restarts it")
	return nil
}

// startControllers starts the controllers that do not run.
func (c *console) startControllers() error {
	for _, controller := range c.cluster.Controllers {
		if controller.IsRunning() {
			continue
		}
		if err := controller.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *console) pauseLeader() error {
	leader, _ := c.cluster.Leader()
	if leader == nil || c.pausedController != nil {
		fmt.Fprintln(c.out, "no controller is leader, or one is paused already")
		return nil
	}
	c.pausedController = leader
	fmt.Fprintln(c.out, leader.Name, "was the leader and is being paused; `resume` resumes it")
	return leader.Pause()
}

func (c *console) resumeController() error {
	if c.pausedController == nil {
		fmt.Fprintln(c.out, "no controller is paused")
		return nil
	}
	controller := c.pausedController
	c.pausedController = nil
	return controller.Resume()
}

// submitFaultyJob submits a job whose tasks fail on every machine.
func (c *console) submitFaultyJob() error {
	ref := fmt.Sprintf("j-%06d", firstFaultyJobNumber+len(c.faultyJobs))
	c.faultyJobs = append(c.faultyJobs, ref)
	job := wire.Job{
		Ref:       ref,
		Class:     "results",
		Team:      loopback.DefaultClusterConfig().Teams[0],
		Shape:     wire.ShapeBatch,
		Priority:  wire.PriorityStandard,
		Tasks:     12,
		CPUs:      0.5,
		MemoryGB:  0.5,
		Image:     "img-mistaken",
		ImageGB:   1,
		Spot:      true,
		EstimateS: 20,
	}
	if err := c.cluster.SubmitFaulty(c.cluster.Controllers[0], job); err != nil {
		fmt.Fprintln(c.out, err)
		return nil
	}
	fmt.Fprintln(c.out, ref, "was accepted; its tasks fail on every machine")
	return nil
}

func (c *console) cancelFaultyJobs() error {
	for _, ref := range c.faultyJobs {
		fmt.Fprintln(c.out, ref, "cancelled:", c.cluster.Cancel(c.cluster.Controllers[0], ref))
	}
	c.faultyJobs = nil
	return nil
}
