// Command loopback runs a small cluster on 127.0.0.1 with real controllers and fakes of all other parts. It is used to
// try out and to measure the scheduler.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "loopback:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var options clusterOptions
	root := &cobra.Command{
		Use:           "loopback",
		Short:         "Run a small cluster on 127.0.0.1",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&options.binary, "binary", "target/swiftledge", "path of the controller's executable")
	flags.StringArrayVar(&options.settings, "settings", []string{"deploy/swiftledge.yaml"},
		"the controllers' settings files; a later file overrides the settings that it names")
	flags.BoolVar(&options.keepMachines, "keep", true,
		"keep all machines, as if they were paid for anyway; otherwise the leader deletes idle machines")
	root.AddCommand(clusterCommand(&options), surgeCommand(&options))
	return root
}
