// Command loopback runs a small site on 127.0.0.1, with real controllers and fakes of everything else, to try
// and to measure the service.
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
		Short:         "A small site on 127.0.0.1",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&options.binary, "binary", "target/swiftledge", "the controller")
	flags.StringArrayVar(&options.settings, "settings", []string{"deploy/swiftledge.yaml"},
		"the controllers' settings; given again, a file changes what it names")
	flags.BoolVar(&options.keepMachines, "keep", true,
		"keep all machines up, as a fleet that is paid for anyway; else idle ones are returned")
	root.AddCommand(clusterCommand(&options), surgeCommand(&options))
	return root
}
