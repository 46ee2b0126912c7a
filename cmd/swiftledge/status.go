package main

import (
	"io"

	"github.com/spf13/cobra"

	"swiftledge/internal/status"
)

// statusOptions holds the flags of `swiftledge status`.
type statusOptions struct {
	asJSON       bool
	withMachines bool
}

// statusCommand returns the command that shows the state of every controller of the site.
func statusCommand(files *settingsFiles) *cobra.Command {
	var options statusOptions
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show loads, waiting work and moves, as the controllers tell them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := files.load()
			if err != nil {
				return err
			}
			controllers := status.Fetch(cfg)
			if err := options.write(cmd.OutOrStdout(), controllers); err != nil {
				return err
			}
			if !status.AnyAnswered(controllers) {
				return status.ErrNoAnswer
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&options.asJSON, "json", false, "print JSON, with every machine")
	cmd.Flags().BoolVar(&options.withMachines, "machines", false, "print a row for each machine, too")
	return cmd
}

func (o statusOptions) write(w io.Writer, controllers []status.Controller) error {
	switch {
	case o.asJSON:
		return status.WriteJSON(w, controllers)
	case o.withMachines:
		return status.WriteTable(w, controllers, status.WithMachines)
	}
	return status.WriteTable(w, controllers, status.WithoutMachines)
}
