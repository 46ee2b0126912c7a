package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"swiftledge/internal/loopback"
)

func clusterCommand(options *clusterOptions) *cobra.Command {
	return &cobra.Command{
		Use: "cluster",
		Short: "Run three controllers and twenty machines; `surge`, `load`, `status`, `kill`, `start`, `pause`, " +
			"`resume`, `mistaken`, `cancel` and `quit` are read from standard input",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cluster, err := options.startCluster(cmd.Context())
			if err != nil {
				return err
			}
			defer cluster.Stop()
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "settings and logs are in %s; show the status with\n  %s status --config %s\n",
				cluster.directory, options.binary, cluster.Controllers[0].SettingsFile)
			return runConsole(cmd.Context(), cluster.Cluster, cmd.InOrStdin(), out)
		},
	}
}

// runConsole applies a steady load and executes the operator's commands, one on each line of in. It returns after the
// quit command, at the end of in, or when a command fails.
func runConsole(ctx context.Context, cluster *loopback.Cluster, in io.Reader, out io.Writer) error {
	surge := loopback.DefaultSurge()
	surgeRequests := make(chan struct{}, 1)
	c := &console{cluster: cluster, out: out, surge: surge, surgeRequests: surgeRequests}
	ctx, cancel := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { surge.RunUntilCancelled(ctx, cluster, surgeRequests) })
	defer load.Wait()
	defer cancel()
	commands := c.commands()
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		name := strings.TrimSpace(lines.Text())
		if name == "quit" {
			return nil
		}
		command, ok := commands[name]
		if !ok {
			fmt.Fprintln(out, "unknown command; use surge, load, status, kill, start, pause, resume, mistaken, cancel or quit")
			continue
		}
		if err := command(); err != nil {
			return err
		}
	}
	return lines.Err()
}
