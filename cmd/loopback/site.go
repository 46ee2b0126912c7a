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

// clusterOptions are the flags that all commands share.
type clusterOptions struct {
	binary       string
	settings     []string
	keepMachines bool
}

// tempCluster is a cluster that runs, with the directory of its settings files and logs.
type tempCluster struct {
	*loopback.Cluster
	directory string
}

// startCluster starts a cluster in a new directory, which stays when the cluster is stopped.
func (o *clusterOptions) startCluster(ctx context.Context) (*tempCluster, error) {
	directory, err := os.MkdirTemp("", "loopback-")
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	files, err := o.settingsFiles(directory)
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	cluster, err := loopback.Start(ctx, directory, o.binary, loopback.DefaultClusterConfig(), files...)
	if err != nil {
		return nil, err
	}
	return &tempCluster{cluster, directory}, nil
}

// settingsFiles names the controllers' settings files; the last one may be written here.
func (o *clusterOptions) settingsFiles(directory string) ([]string, error) {
	if !o.keepMachines {
		return o.settings, nil
	}
	file := filepath.Join(directory, "kept.yaml")
	if err := os.WriteFile(file, []byte(keepMachinesSettings), 0o600); err != nil {
		return nil, err
	}
	return append(o.settings[:len(o.settings):len(o.settings)], file), nil
}

// stopAndRemove stops the cluster and removes its directory.
func (s *tempCluster) stopAndRemove(err error) error {
	s.Stop()
	return errors.Join(err, os.RemoveAll(s.directory))
}
