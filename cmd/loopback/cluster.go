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
		Short: "Run three controllers and twenty workers; `surge`, `load`, `status`, `kill`, `start`, `pause`, " +
			"`resume`, `mistaken`, `cancel` and `quit` are read from standard input",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := options.startCluster(cmd.Context())
			if err != nil {
				return err
			}
			defer s.Stop()
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "settings and logs are in %s; watch with\n  %s status --config %s\n",
				s.directory, options.binary, s.Controllers[0].SettingsFile)
			return runConsole(cmd.Context(), s.Cluster, cmd.InOrStdin(), out)
		},
	}
}

// runConsole keeps a steady load up and carries out the operator's commands, a line each, until one ends it, in
// ends, or a command fails.
func runConsole(ctx context.Context, cluster *loopback.Cluster, in io.Reader, out io.Writer) error {
	surge := loopback.DefaultSurge()
	surges := make(chan struct{}, 1)
	c := &console{cluster: cluster, out: out, surge: surge, surgeRequests: surges}
	ctx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { surge.RunUntilCancelled(ctx, cluster, surges) })
	defer load.Wait()
	defer stop()
	commands := c.commands()
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		name := strings.TrimSpace(lines.Text())
		if name == "quit" {
			return nil
		}
		command, ok := commands[name]
		if !ok {
			fmt.Fprintln(out, "surge, load, status, kill, start, pause, resume, mistaken, cancel or quit")
			continue
		}
		if err := command(); err != nil {
			return err
		}
	}
	return lines.Err()
}
