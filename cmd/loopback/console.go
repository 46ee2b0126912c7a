package main

import (
	"fmt"
	"io"

	"swiftledge/internal/loopback"
	"swiftledge/internal/status"
	"swiftledge/wire"
)

// firstMistakenJob is the number of the first mistaken job: above those of the steady load.
const firstMistakenJob = 900001

// console carries out an operator's commands on a cluster.
type console struct {
	cluster *loopback.Cluster
	out     io.Writer
	surge   loopback.Surge
	surges  chan<- struct{} // asks for a surge

	// What was done to the cluster and can be undone.
	paused       *loopback.Controller
	mistakenJobs []string
}

// commands returns the commands by their names.
func (c *console) commands() map[string]func() error {
	return map[string]func() error{
		"surge":    c.startSurge,
		"load":     c.printLoad,
		"status":   c.printStatus,
		"kill":     c.killLeader,
		"start":    c.startControllers,
		"pause":    c.pauseLeader,
		"resume":   c.resumeController,
		"mistaken": c.submitMistakenJob,
		"cancel":   c.cancelMistakenJobs,
	}
}

func (c *console) startSurge() error {
	c.surges <- struct{}{}
	fmt.Fprintln(c.out, "one team submits ten times its usual volume for", c.surge.Duration)
	return nil
}

func (c *console) printLoad() error {
	sample := c.cluster.Sample()
	fmt.Fprintf(c.out, "%d machines, mean load %.2f, greatest %.2f (%.2f times the mean)\n",
		sample.Machines, sample.Mean, sample.Greatest, sample.OverMean())
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
	fmt.Fprintln(c.out, leader.Name, "has led and is ended; `start` starts it again")
	return nil
}

// startControllers starts those that do not run.
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
	if leader == nil || c.paused != nil {
		fmt.Fprintln(c.out, "nobody leads, or one stands still already")
		return nil
	}
	c.paused = leader
	fmt.Fprintln(c.out, leader.Name, "has led and stands still; `resume` lets it go on")
	return leader.Pause()
}

func (c *console) resumeController() error {
	if c.paused == nil {
		fmt.Fprintln(c.out, "none stands still")
		return nil
	}
	controller := c.paused
	c.paused = nil
	return controller.Resume()
}

// submitMistakenJob submits a job whose tasks fail on every machine.
func (c *console) submitMistakenJob() error {
	ref := fmt.Sprintf("j-%06d", firstMistakenJob+len(c.mistakenJobs))
	c.mistakenJobs = append(c.mistakenJobs, ref)
	job := wire.Job{
		Ref:       ref,
		Class:     "results",
		Team:      loopback.DefaultShape().Teams[0],
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
	if err := c.cluster.SubmitMistaken(c.cluster.Controllers[0], job); err != nil {
		fmt.Fprintln(c.out, err)
		return nil
	}
	fmt.Fprintln(c.out, ref, "is accepted; its tasks fail on every machine")
	return nil
}

func (c *console) cancelMistakenJobs() error {
	for _, ref := range c.mistakenJobs {
		fmt.Fprintln(c.out, ref, "cancelled:", c.cluster.Cancel(c.cluster.Controllers[0], ref))
	}
	c.mistakenJobs = nil
	return nil
}
