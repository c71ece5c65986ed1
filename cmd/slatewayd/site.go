package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/daemon"
	"slateway.example/slateway/internal/settings"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/platform"
)

const (
	// settingsPollInterval is how often the settings file is checked for changes; it
	// may change without a SIGHUP.
	settingsPollInterval = time.Second
	// diskRetryInterval is how often a failed disk is tested for writes.
	diskRetryInterval = time.Second
	// gcPercent is the GOGC value of a control VM, half of Go's default. Its live
	// heap is a few megabytes, so collecting twice as often costs little CPU time,
	// and memory is scarce at such a site.
	gcPercent = 50
)

// runSite runs one VM of a site of control VMs. When its disk fails, it stops its
// replicas of the replicated state, waits until the disk accepts writes again, and
// restarts from the data on disk. Exiting instead would cause a restart loop that
// fills the log.
func runSite(ctx context.Context, command *cli.Command, loaded settings.Settings, log *telemetry.Log) error {
	defer zap.RedirectStdLog(log.Logger)() // net/http logs to the standard logger
	debug.SetGCPercent(gcPercent)
	for {
		site, err := daemon.NewSite(loaded, platform.Edge(), log)
		if err == nil {
			siteCtx, stop := context.WithCancel(ctx)
			go watchSettings(siteCtx, command, site)
			err = site.Run(ctx)
			stop()
		}
		var disk *daemon.DiskError
		if !errors.As(err, &disk) || ctx.Err() != nil {
			return err
		}
		log.Error("the disk has failed, waiting until it takes writes", zap.Error(err))
		if !waitForDisk(ctx, loaded.VM.DataFolder) {
			return nil
		}
		log.Info("the disk takes writes again", zap.String("folder", loaded.VM.DataFolder))
	}
}

// waitForDisk waits until a file in the folder can be written and synced. It
// returns false if ctx ends first.
func waitForDisk(ctx context.Context, folder string) bool {
	ticker := time.NewTicker(diskRetryInterval)
	defer ticker.Stop()
	for settings.CheckWritable(folder) != nil {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return ctx.Err() == nil
}

// watchSettings reloads the settings on SIGHUP and when the file changes.
func watchSettings(ctx context.Context, command *cli.Command, site *daemon.Site) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path, err := settingsPath(command)
	if err != nil {
		site.RejectReload(err)
		return
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(path) // it was just read; the next poll reports an error
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			forced = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil {
			site.RejectReload(err)
			continue
		}
		if !forced && bytes.Equal(text, last) {
			continue
		}
		last = text
		reloaded, err := settings.Parse(string(text))
		if err != nil {
			site.RejectReload(err)
			continue
		}
		site.Reload(reloaded)
	}
}
