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
	// garbagePercent lets garbage grow to several times what is in use: memory is plenty against what a
	// controller holds, processor time is not.
	garbagePercent = 400
	// memoryPart is the part of the controller's memory from which on garbage is collected more often.
	memoryPart = 0.7
	bytesPerMB = 1 << 20
)

// serve runs a controller until ctx ends.
func serve(ctx context.Context, cfg *config.Config) error {
	// The machine runs one thread of the program at a time; more would only wait for each other.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(cfg.Facts.Quota.MemMB * memoryPart * bytesPerMB))
	options := &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))}
	log := slog.New(slog.NewTextHandler(os.Stderr, options))
	return controller.New(cfg, log).Serve(ctx)
}

// logLevel returns the level of a name; info is that of unknown names.
func logLevel(name string) slog.Level {
	switch name {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}
