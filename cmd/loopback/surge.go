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
	// defaultRepeats is the default number of measured surges.
	defaultRepeats = 3
	// connectDelay is the time for controllers and agents to connect to each other before the surge starts.
	connectDelay = 10 * time.Second
	// samplesPerLine is the number of load samples of which printResult prints one. There is one sample a second.
	samplesPerLine = 15
)

func surgeCommand(options *clusterOptions) *cobra.Command {
	var repeats int
	var reportFile string
	cmd := &cobra.Command{
		Use:   "surge",
		Short: "Measure surges; each takes about five minutes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			results, err := options.measureSurges(cmd.Context(), repeats, cmd.OutOrStdout())
			if err != nil || reportFile == "" {
				return err
			}
			return writeReport(reportFile, results)
		},
	}
	cmd.Flags().IntVar(&repeats, "repeats", defaultRepeats, "number of surges")
	cmd.Flags().StringVar(&reportFile, "report", "", "file to which all results and samples are written as JSON")
	return cmd
}

// measureSurges measures several surges, each on a new cluster, and prints each result.
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster, err := o.startCluster(ctx)
	if err != nil {
		return loopback.Result{}, err
	}
	defer func() { err = cluster.stopAndRemove(err) }()
	select {
	case <-ctx.Done():
		return loopback.Result{}, ctx.Err()
	case <-time.After(connectDelay):
	}
	return loopback.DefaultSurge().Run(ctx, cluster.Cluster)
}

// writeReport writes all results with their samples to a JSON file.
func writeReport(file string, results []loopback.Result) error {
	raw, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	return os.WriteFile(file, raw, 0o600)
}

// printResult prints the load every samplesPerLine seconds and then the totals.
func printResult(w io.Writer, result *loopback.Result) {
	for i, sample := range result.Samples {
		if i%samplesPerLine == 0 {
			fmt.Fprintf(w, "%6.0f s  %2d machines  mean %.2f  maximum %.2f  %.2f times the mean\n",
				sample.AtS, sample.Machines, sample.Mean, sample.Max, sample.MaxToMean())
		}
	}
	fmt.Fprintf(w, "from two minutes on: maximum at most %.2f times the mean, %d s above twice the mean\n",
		result.SettledMaxToMean, result.SecondsAboveTwice)
	fmt.Fprintf(w, "migrations %+v, %d image fetches, %.0f s of run time repeated, %.1f s of CPU time, ",
		result.Migrations, result.ImageFetches, result.LostSeconds, result.CPUSeconds)
	fmt.Fprintf(w, "%d submissions refused, %d tasks completed twice\n",
		result.RefusedSubmissions, result.RepeatedTasks)
	for _, wait := range result.Waits {
		fmt.Fprintf(w, "%s: %d of %d jobs started, wait %.1f s (median), %.1f s (maximum)\n",
			wait.Team, wait.StartedJobs, wait.Jobs, wait.MedianS, wait.LongestS)
	}
}
