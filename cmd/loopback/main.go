// Command loopback runs a small site of fakes and real controllers on 127.0.0.1, to try and to measure
// the service.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"swiftledge/internal/loopback"
	"swiftledge/internal/status"
	"swiftledge/wire"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "loopback:", err)
		os.Exit(1)
	}
}

// options are the flags that all commands share.
type options struct {
	binary   string
	settings []string
	keep     bool
}

func command() *cobra.Command {
	var o options
	root := &cobra.Command{Use: "loopback", Short: "A small site on 127.0.0.1", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&o.binary, "binary", "target/swiftledge", "the controller")
	root.PersistentFlags().StringArrayVar(&o.settings, "settings", []string{"deploy/swiftledge.yaml"}, "the controllers' settings; given again, a file changes what it names")
	root.PersistentFlags().BoolVar(&o.keep, "keep", true, "keep all machines up, as a fleet that is paid for anyway; else idle ones are returned")
	root.AddCommand(clusterCommand(&o), surgeCommand(&o))
	return root
}

// keptFleet keeps every machine that is up, and rents none beyond.
const keptFleet = "fleet: {reserve: 10, idle_s: 3600}\n"

// start starts a cluster in a directory for its settings files and logs.
func (o *options) start(ctx context.Context) (*loopback.Cluster, string, error) {
	dir, err := os.MkdirTemp("", "loopback-")
	if err != nil {
		return nil, "", fmt.Errorf("start: %w", err)
	}
	files := o.settings
	if o.keep {
		file := filepath.Join(dir, "kept.yaml")
		if err := os.WriteFile(file, []byte(keptFleet), 0o600); err != nil {
			return nil, "", fmt.Errorf("start: %w", err)
		}
		files = append(files[:len(files):len(files)], file)
	}
	c, err := loopback.Start(ctx, dir, o.binary, loopback.DefaultShape(), files...)
	return c, dir, err
}

func clusterCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "cluster",
		Short: "Run three controllers and twenty workers; `surge`, `load`, `status`, `kill`, `start`, `pause`, `resume`, `mistaken`, `cancel` and `quit` are read from standard input",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, dir, err := o.start(cmd.Context())
			if err != nil {
				return err
			}
			defer c.Stop()
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "settings and logs are in %s; watch with\n  %s status --config %s\n", dir, o.binary, c.Controllers[0].SettingsFile)
			return serve(cmd.Context(), c, cmd.InOrStdin(), out)
		},
	}
}

// serve keeps a steady load up and obeys the operator.
func serve(ctx context.Context, c *loopback.Cluster, in io.Reader, out io.Writer) error {
	s := loopback.DefaultSurge()
	surges := make(chan struct{}, 1)
	go s.PlayUntilDone(ctx, c, surges)
	var operator operator
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		switch line := strings.TrimSpace(lines.Text()); line {
		case "surge":
			surges <- struct{}{}
			fmt.Fprintln(out, "one team submits ten times its usual volume for", s.Duration)
		case "load":
			sample := c.Sample()
			fmt.Fprintf(out, "%d machines, mean load %.2f, greatest %.2f (%.2f times the mean)\n", sample.Machines, sample.Mean, sample.Greatest, sample.OverMean())
		case "status":
			if err := status.WriteTable(out, c.Status(), status.WithoutMachines); err != nil {
				return err
			}
		case "kill":
			if k, _ := c.Leader(); k != nil {
				k.Kill()
				fmt.Fprintln(out, k.Name, "has led and is ended; `start` starts it again")
			}
		case "start":
			for _, k := range c.Controllers {
				if !k.IsRunning() {
					if err := k.Start(); err != nil {
						return err
					}
				}
			}
		case "quit":
			return nil
		default:
			if known, err := operator.obey(c, line, out); err != nil {
				return err
			} else if !known {
				fmt.Fprintln(out, "surge, load, status, kill, start, pause, resume, mistaken, cancel or quit")
			}
		}
	}
	return lines.Err()
}

func surgeCommand(o *options) *cobra.Command {
	var repeats int
	var report string
	cmd := &cobra.Command{
		Use:   "surge",
		Short: "Measure a surge: five minutes each time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []loopback.Result
			for range repeats {
				r, err := o.measure(cmd.Context())
				if err != nil {
					return err
				}
				write(cmd.OutOrStdout(), &r)
				all = append(all, r)
			}
			if report == "" {
				return nil
			}
			raw, err := json.MarshalIndent(all, "", " ")
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			return os.WriteFile(report, raw, 0o600)
		},
	}
	cmd.Flags().IntVar(&repeats, "repeats", 3, "how often")
	cmd.Flags().StringVar(&report, "report", "", "a file for all samples, as JSON")
	return cmd
}

// linkTime is how long a cluster has for its controllers and workers to find each other.
const linkTime = 10 * time.Second

func (o *options) measure(ctx context.Context) (loopback.Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c, dir, err := o.start(ctx)
	if err != nil {
		return loopback.Result{}, err
	}
	defer os.RemoveAll(dir)
	defer c.Stop()
	time.Sleep(linkTime)
	return loopback.DefaultSurge().Play(ctx, c)
}

// write prints a result: the load each fifteen seconds, then what was counted.
func write(w io.Writer, r *loopback.Result) {
	const every = 15
	for i, s := range r.Samples {
		if i%every == 0 {
			fmt.Fprintf(w, "%6.0f s  %2d machines  mean %.2f  greatest %.2f  %.2f times the mean\n", s.AtS, s.Machines, s.Mean, s.Greatest, s.OverMean())
		}
	}
	fmt.Fprintf(w, "from two minutes on: at most %.2f times the mean, %d s above twice\n", r.WorstSettled, r.AboveTwice)
	fmt.Fprintf(w, "moves %+v, %d image fetches, %.0f s of work redone, %.1f s of processor time, %d submissions refused, %d tasks completed twice\n",
		r.Migrations, r.ImageFetches, r.LostS, r.CPUSeconds, r.RefusedSubmissions, r.RepeatedTasks)
	for _, t := range r.Waits {
		fmt.Fprintf(w, "%s: %d of %d jobs begun, after %.1f s (median), %.1f s (most)\n", t.Team, t.StartedJobs, t.Jobs, t.MedianS, t.LongestS)
	}
}

// operator is what was done to the cluster and can be undone.
type operator struct {
	paused   *loopback.Controller
	mistaken []string
}

// mistakenJobs is where the references of mistaken jobs begin: above those of the steady load.
const mistakenJobs = 900001

// obey carries out the commands that stop and resume a controller and that submit and cancel mistaken jobs. It says
// whether it knows the command.
func (o *operator) obey(c *loopback.Cluster, line string, out io.Writer) (known bool, err error) {
	switch line {
	case "pause":
		k, _ := c.Leader()
		if k == nil || o.paused != nil {
			fmt.Fprintln(out, "nobody leads, or one stands still already")
			return true, nil
		}
		o.paused = k
		fmt.Fprintln(out, k.Name, "has led and stands still; `resume` lets it go on")
		return true, k.Pause()
	case "resume":
		if o.paused == nil {
			fmt.Fprintln(out, "none stands still")
			return true, nil
		}
		k := o.paused
		o.paused = nil
		return true, k.Resume()
	case "mistaken":
		ref := fmt.Sprintf("j-%06d", mistakenJobs+len(o.mistaken))
		o.mistaken = append(o.mistaken, ref)
		j := wire.Job{Ref: ref, Class: "results", Team: loopback.DefaultShape().Teams[0], Shape: wire.ShapeBatch, Priority: wire.PriorityStandard, Tasks: 12,
			CPUs: 0.5, MemoryGB: 0.5, Image: "img-mistaken", ImageGB: 1, Spot: true, EstimateS: 20}
		if err := c.SubmitMistaken(c.Controllers[0], j); err != nil {
			fmt.Fprintln(out, err)
			return true, nil
		}
		fmt.Fprintln(out, ref, "is accepted; its tasks fail on every machine")
		return true, nil
	case "cancel":
		for _, ref := range o.mistaken {
			fmt.Fprintln(out, ref, "cancelled:", c.Cancel(c.Controllers[0], ref))
		}
		o.mistaken = nil
		return true, nil
	}
	return false, nil
}
