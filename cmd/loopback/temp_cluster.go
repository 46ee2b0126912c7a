package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"swiftledge/internal/loopback"
)

// keepMachinesSettings makes the leader keep every running machine and provision no others.
const keepMachinesSettings = "fleet: {reserve: 10, idle_s: 3600}\n"

// clusterOptions are the values of the flags that all commands share.
type clusterOptions struct {
	binary       string
	settings     []string
	keepMachines bool
}

// tempCluster is a running cluster with the temporary directory of its settings files and logs.
type tempCluster struct {
	*loopback.Cluster
	directory string
}

// startCluster starts a cluster in a new directory. Stop keeps the directory, stopAndRemove removes it.
func (o *clusterOptions) startCluster(ctx context.Context) (*tempCluster, error) {
	directory, err := os.MkdirTemp("", "loopback-")
	if err != nil {
		return nil, fmt.Errorf("create cluster directory: %w", err)
	}
	files, err := o.settingsFiles(directory)
	if err != nil {
		return nil, fmt.Errorf("write settings file: %w", err)
	}
	cluster, err := loopback.Start(ctx, directory, o.binary, loopback.DefaultClusterConfig(), files...)
	if err != nil {
		return nil, err
	}
	return &tempCluster{cluster, directory}, nil
}

// settingsFiles returns the paths of the controllers' settings files. If all machines are kept, it writes an additional
// file to the directory.
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

// stopAndRemove stops the cluster and removes its directory. It joins an error of the removal to err.
func (c *tempCluster) stopAndRemove(err error) error {
	c.Stop()
	return errors.Join(err, os.RemoveAll(c.directory))
}
