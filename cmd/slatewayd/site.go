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
	// watchInterval is how often the settings file is looked at; it may change
	// without a signal.
	watchInterval = time.Second
	// diskRetry is how often a disk that has failed is tried again.
	diskRetry = time.Second
	// gcPercent is the garbage that may lie beside the live heap before it is
	// collected. A VM of a site holds a few megabytes: to collect twice as often
	// takes little processor time, and the memory is what such a site is short of.
	gcPercent = 50
)

// runSite runs a VM of a site of control VMs. When its disk fails it gives up its
// part of the replicated state, waits until the disk takes writes again, and
// begins anew from what lies there: a process that ended each time would be
// started over and over, and log nothing else.
func runSite(ctx context.Context, command *cli.Command, loaded settings.Settings, log *telemetry.Log) error {
	defer zap.RedirectStdLog(log.Logger)() // of the HTTP library
	debug.SetGCPercent(gcPercent)
	for {
		site, err := daemon.NewSite(loaded, platform.Edge(), log)
		if err == nil {
			running, stop := context.WithCancel(ctx)
			go watchSettings(running, command, site)
			err = site.Run(ctx)
			stop()
		}
		var disk *daemon.DiskError
		if !errors.As(err, &disk) || ctx.Err() != nil {
			return err
		}
		log.Error("the disk has failed, waiting until it takes writes", zap.Error(err))
		if !awaitDisk(ctx, loaded.VM.DataFolder) {
			return nil
		}
		log.Info("the disk takes writes again", zap.String("folder", loaded.VM.DataFolder))
	}
}

// awaitDisk returns when a file in the folder can be written and synced; false
// if ctx has ended.
func awaitDisk(ctx context.Context, folder string) bool {
	ticker := time.NewTicker(diskRetry)
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

// watchSettings reloads the settings at SIGHUP and when their file has changed.
func watchSettings(ctx context.Context, command *cli.Command, site *daemon.Site) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path, err := settingsPath(command)
	if err != nil {
		site.RejectReload(err)
		return
	}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(path) // it was read a moment ago; a failure shows at the next look
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
		fresh, err := settings.Parse(string(text))
		if err != nil {
			site.RejectReload(err)
			continue
		}
		site.Reload(fresh)
	}
}
