package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"swiftledge/internal/loopback"
)

// keepMachinesSettings has controllers keep every machine that is up, and provision none beyond.
const keepMachinesSettings = "fleet: {reserve: 10, idle_s: 3600}\n"

// siteOptions are the flags that all commands share.
type siteOptions struct {
	binary       string
	settings     []string
	keepMachines bool
}

// site is a cluster that runs, with the directory of its settings files and logs.
type site struct {
	*loopback.Cluster
	directory string
}

// start starts a cluster in a new directory, which stays when the cluster is stopped.
func (o *siteOptions) start(ctx context.Context) (*site, error) {
	directory, err := os.MkdirTemp("", "loopback-")
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	files, err := o.settingsFiles(directory)
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	cluster, err := loopback.Start(ctx, directory, o.binary, loopback.DefaultShape(), files...)
	if err != nil {
		return nil, err
	}
	return &site{cluster, directory}, nil
}

// settingsFiles names the controllers' settings files; the last one may be written here.
func (o *siteOptions) settingsFiles(directory string) ([]string, error) {
	if !o.keepMachines {
		return o.settings, nil
	}
	file := filepath.Join(directory, "kept.yaml")
	if err := os.WriteFile(file, []byte(keepMachinesSettings), 0o600); err != nil {
		return nil, err
	}
	return append(o.settings[:len(o.settings):len(o.settings)], file), nil
}

// remove stops the cluster and removes its directory.
func (s *site) remove(err error) error {
	s.Stop()
	return errors.Join(err, os.RemoveAll(s.directory))
}
