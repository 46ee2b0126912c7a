package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"swiftledge/internal/loopback"
)

const (
	// defaultRepeats is how often a surge is measured.
	defaultRepeats = 3
	// connectDelay is how long controllers and workers have to find each other before a surge begins.
	connectDelay = 10 * time.Second
	// samplesPerLine is so many samples long; there is one a second.
	samplesPerLine = 15
)

func surgeCommand(options *clusterOptions) *cobra.Command {
	var repeats int
	var reportFile string
	cmd := &cobra.Command{
		Use:   "surge",
		Short: "Measure a surge: five minutes each time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			results, err := options.measureSurges(cmd.Context(), repeats, cmd.OutOrStdout())
			if err != nil || reportFile == "" {
				return err
			}
			return writeReport(reportFile, results)
		},
	}
	cmd.Flags().IntVar(&repeats, "repeats", defaultRepeats, "how often")
	cmd.Flags().StringVar(&reportFile, "report", "", "a file for all samples, as JSON")
	return cmd
}

// measureSurges measures surges, each on a site of its own, and prints each result.
func (o *clusterOptions) measureSurges(ctx context.Context, repeats int, out io.Writer) ([]loopback.Result, error) {
	var results []loopback.Result
	for range repeats {
		result, err := o.measureSurge(ctx)
		if err != nil {
			return nil, err
		}
		printResult(out, &result)
		results = append(results, result)
	}
	return results, nil
}

func (o *clusterOptions) measureSurge(ctx context.Context) (result loopback.Result, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s, err := o.startCluster(ctx)
	if err != nil {
		return loopback.Result{}, err
	}
	defer func() { err = s.stopAndRemove(err) }()
	select {
	case <-ctx.Done():
		return loopback.Result{}, ctx.Err()
	case <-time.After(connectDelay):
	}
	return loopback.DefaultSurge().Run(ctx, s.Cluster)
}

// writeReport writes all results, with their samples, to a file.
func writeReport(file string, results []loopback.Result) error {
	raw, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return os.WriteFile(file, raw, 0o600)
}

// printResult prints the load each fifteen seconds, then what was counted.
func printResult(w io.Writer, result *loopback.Result) {
	for i, sample := range result.Samples {
		if i%samplesPerLine == 0 {
			fmt.Fprintf(w, "%6.0f s  %2d machines  mean %.2f  greatest %.2f  %.2f times the mean\n",
				sample.AtS, sample.Machines, sample.Mean, sample.Max, sample.MaxToMean())
		}
	}
	fmt.Fprintf(w, "from two minutes on: at most %.2f times the mean, %d s above twice\n",
		result.SettledMaxToMean, result.SecondsAboveTwice)
	fmt.Fprintf(w, "moves %+v, %d image fetches, %.0f s of work redone, %.1f s of processor time, ",
		result.Migrations, result.ImageFetches, result.LostSeconds, result.CPUSeconds)
	fmt.Fprintf(w, "%d submissions refused, %d tasks completed twice\n",
		result.RefusedSubmissions, result.RepeatedTasks)
	for _, wait := range result.Waits {
		fmt.Fprintf(w, "%s: %d of %d jobs begun, after %.1f s (median), %.1f s (most)\n",
			wait.Team, wait.StartedJobs, wait.Jobs, wait.MedianS, wait.LongestS)
	}
}
