package main

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"swiftledge/internal/config"
	"swiftledge/internal/controller"
)

const (
	// gcPercent lets garbage grow to several times the live heap. A controller needs little of its memory quota,
	// but its CPU time is scarce.
	gcPercent = 400
	// memoryLimitRatio is the share of the controller's memory above which garbage is collected more often.
	memoryLimitRatio = 0.7
	bytesPerMB       = 1 << 20
)

// serve runs a controller until ctx ends.
func serve(ctx context.Context, cfg *config.Config) error {
	// The machine runs one thread of the program at a time, so more threads would only wait for each other.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.Facts.Quota.MemMB * memoryLimitRatio * bytesPerMB))
	options := &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))}
	log := slog.New(slog.NewTextHandler(os.Stderr, options))
	return controller.New(cfg, log).Serve(ctx)
}

// logLevel returns the log level with the given name, and the info level for unknown names.
func logLevel(name string) slog.Level {
	switch name {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}
