// Command swiftledge is a controller of the cluster scheduler. Without a subcommand it runs the controller. The
// subcommands print the version, validate the settings, print their schema, and show the state of a site's
// controllers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"swiftledge/internal/config"
)

// version is what `swiftledge version` prints.
const version = "0.1.0"

func main() {
	if err := rootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "swiftledge:", err)
		os.Exit(1)
	}
}

// settingsFiles holds the flags that name the settings files. All commands share them.
type settingsFiles struct {
	platform  string
	operators []string
}

func (f *settingsFiles) load() (*config.Config, error) {
	if f.platform == "" {
		return nil, errors.New("--config is needed")
	}
	return config.Load(f.platform, f.operators...)
}

func rootCommand() *cobra.Command {
	var files settingsFiles
	root := &cobra.Command{
		Use:           "swiftledge --config FILE [--settings FILE]...",
		Short:         "A controller of the swiftledge cluster scheduler",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := files.load()
			if err != nil {
				return err
			}
			return serve(cmd.Context(), cfg)
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&files.platform, "config", "", "the platform's settings (JSON)")
	flags.StringArrayVar(&files.operators, "settings", nil,
		"the operators' own settings (YAML); given again, a file changes what it names")
	root.AddCommand(versionCommand(), checkCommand(&files), statusCommand(&files), schemaCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "swiftledge", version)
		},
	}
}

func checkCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Validate the settings files without serving",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := files.load(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
}

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of the operators' settings",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			schema, err := config.Schema()
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(schema)
			return err
		},
	}
}
