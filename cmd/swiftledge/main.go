// Command swiftledge is a controller of the cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"swiftledge/internal/config"
	"swiftledge/internal/controller"
)

// version is what `swiftledge version` prints.
const version = "0.1.0"

func main() {
	if err := command().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "swiftledge:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var settings string
	var tuning []string
	root := &cobra.Command{
		Use:           "swiftledge --config FILE [--settings FILE]...",
		Short:         "A controller of the swiftledge cluster scheduler",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load(settings, tuning)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), cfg)
		},
	}
	root.PersistentFlags().StringVar(&settings, "config", "", "the platform's settings (JSON)")
	root.PersistentFlags().StringArrayVar(&tuning, "settings", nil, "the operators' own settings (YAML); given again, a file changes what it names")
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "swiftledge", version) },
	}, &cobra.Command{
		Use:   "check",
		Short: "Validate the settings files without serving",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(settings, tuning); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	})
	root.AddCommand(statusCommand(&settings, &tuning), &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of the operators' settings",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			raw, err := config.Schema()
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(raw)
			return err
		},
	})
	return root
}

func load(settings string, tuning []string) (*config.Config, error) {
	if settings == "" {
		return nil, errors.New("--config is needed")
	}
	return config.Load(settings, tuning...)
}

func serve(ctx context.Context, cfg *config.Config) error {
	// The machine runs one thread of ours at a time; more would only wait for each other.
	runtime.GOMAXPROCS(1)
	// Memory is plenty against what we hold, processor time is not: collect seldom.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(cfg.Facts.Quota.MemMB * 0.7 * (1 << 20)))
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		level = slog.LevelDebug
	case "error":
		level = slog.LevelError
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	return controller.New(cfg, log).Serve(ctx)
}
