// Package daemon assembles slatewayd from its components according to the
// settings: the keeper's replicated state, the gate's routing and batch
// processing, and the listeners for callers, operators and other slateway
// processes.
package daemon

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/settings"
	"slateway.example/slateway/internal/telemetry"
)

// Daemon is one slatewayd process.
type Daemon struct {
	settings settings.Settings
	log      *zap.Logger
	metrics  *telemetry.Metrics
	calls    *rpc.Client

	keeper *keeperRole // nil without the role
	gate   *gateRole   // nil without the role
	fleet  *fleet.Fleet
	view   *fleetView

	listeners []*listener
}

// New creates the components without starting them; Run starts them.
func New(s settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, metrics: telemetry.NewMetrics()}
	d.calls = rpc.NewClient(peerClient(&s, d.metrics))
	if s.HasRole(settings.RoleKeeper) {
		keeper, err := newKeeperRole(&s, log, d.metrics)
		if err != nil {
			return nil, err
		}
		d.keeper = keeper
	}
	members, err := newFleet(d)
	if err != nil {
		return nil, err
	}
	d.fleet = members
	d.view = newFleetView(&d.settings, members, d.keeperHost())
	if s.HasRole(settings.RoleGate) {
		d.gate = newGateRole(d)
		d.view.serving = d.gate.serving
	}
	return d, nil
}

// keeperHost returns the host of the replicated groups, or nil if this VM is not
// a keeper.
func (d *Daemon) keeperHost() *replica.Host {
	if d.keeper == nil {
		return nil
	}
	return d.keeper.host
}

// Run serves until ctx ends, then drains: the gate finishes the requests in
// progress before the keeper and the listeners stop.
func (d *Daemon) Run(ctx context.Context) error {
	failures := make(chan error, 1)
	if err := d.listen(failures); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if d.keeper != nil {
		d.keeper.start(background)
	}
	d.fleet.Start()
	if d.gate != nil {
		d.gate.start(background)
	}
	d.log.Info("serving", zap.String("vm", d.settings.VM.Name), zap.String("callers", d.settings.Listen.Callers),
		zap.String("operators", d.settings.Listen.Operators), zap.String("peers", d.settings.Listen.Peers))
	err := d.wait(ctx, failures)
	d.stop(stop)
	return err
}

// wait blocks until ctx ends and returns nil, or returns the error that prevents
// the daemon from continuing.
func (d *Daemon) wait(ctx context.Context, failures <-chan error) error {
	var hostDone <-chan struct{}
	if d.keeper != nil {
		hostDone = d.keeper.host.Done()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	case <-hostDone:
		return fmt.Errorf("the keeper stopped: %w; check the disk of %s, then restart the daemon or replace the member",
			errors.Join(d.keeper.host.Err()), d.settings.VM.DataFolder)
	}
}

func (d *Daemon) stop(stopBackground context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timeouts.Drain)
	defer cancel()
	if d.gate != nil {
		d.log.Info("draining")
		d.gate.drain(ctx)
	}
	d.fleet.Leave()
	stopBackground()
	if d.keeper != nil {
		d.keeper.stop()
	}
	for _, l := range d.listeners {
		l.shutdown(shutdownTimeout)
	}
	d.fleet.Close()
	d.log.Info("stopped")
}
