// Package host runs a simulated upstream as a process. It provides the listener, the
// announcements to gates and a graceful shutdown.
package host

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/standin/announce"
)

// Upstream is a simulated upstream that the process serves.
type Upstream interface {
	http.Handler
	Alive() bool         // has not crashed and is not frozen
	ActiveRequests() int // number of running and waiting requests
}

// drainPollInterval is how often drain checks whether all requests have finished.
const drainPollInterval = 20 * time.Millisecond

// Settings are the settings of the process that serves an upstream.
type Settings struct {
	Listen        string
	Gates         []announce.Gate
	AnnounceEvery time.Duration
	LeaveGrace    time.Duration // how long new requests are accepted after the shutdown began
	Identity      announce.Announcement
}

// Flags returns the command-line flags common to all simulated upstreams.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT` to serve on; port 0 picks a free port"},
		&cli.StringSliceFlag{Name: "gate", Usage: "`IP:PORT` of the caller listener of a gate to announce to; append =IP:PORT to announce that address instead of the listener's own; repeatable"},
		&cli.StringFlag{Name: "service", Usage: "`NAME` of the service that this replica belongs to", Required: true},
		&cli.StringFlag{Name: "replica", Usage: "`NAME` of this replica", Required: true},
		&cli.StringFlag{Name: "place", Value: "local", Usage: "`NAME` of the place"},
		&cli.StringFlag{Name: "vm", Value: "local", Usage: "`NAME` of the VM"},
		&cli.DurationFlag{Name: "announce-every", Value: time.Second, Usage: "time between announcements"},
		&cli.DurationFlag{Name: "leave-grace", Value: 2 * time.Second, Usage: "time after SIGTERM during which new requests are still accepted"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "number of requests that run at the same time"},
		&cli.StringFlag{Name: "run-log", Usage: "`FILE` to append a JSON line to at the start and at the end of each run"},
		&cli.StringFlag{Name: "crash-marker", Value: "crash-upstream", Usage: "`TEXT` that ends this process if a request contains it; empty disables this"},
	}
}

// SettingsFrom returns the settings that the values of Flags describe.
func SettingsFrom(command *cli.Command, kind string) Settings {
	var gates []announce.Gate
	for _, text := range command.StringSlice("gate") {
		gates = append(gates, announce.ParseGate(text))
	}
	return Settings{
		Listen:        command.String("listen"),
		Gates:         gates,
		AnnounceEvery: command.Duration("announce-every"),
		LeaveGrace:    command.Duration("leave-grace"),
		Identity: announce.Announcement{
			Service:     command.String("service"),
			Kind:        kind,
			Replica:     command.String("replica"),
			Incarnation: time.Now().UnixMilli(),
			Place:       command.String("place"),
			VM:          command.String("vm"),
			Slots:       command.Int("slots"),
		},
	}
}

// OpenRunLog opens the file given by --run-log for appending. It returns nil if the
// flag is not set.
func OpenRunLog(command *cli.Command) (*os.File, error) {
	name := command.String("run-log")
	if name == "" {
		return nil, nil
	}
	return os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}

// Run serves upstream and announces it until ctx is cancelled. Then it announces that
// the upstream is leaving, accepts requests for another LeaveGrace, waits until all
// requests have finished, and returns. refresh sets the fields of an announcement that
// change over time.
func Run(ctx context.Context, settings Settings, upstream Upstream, refresh func(*announce.Announcement)) error {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w; choose another address with --listen", settings.Listen, err)
	}
	server := &http.Server{Handler: upstream, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	fmt.Printf("serving %s %s on %s\n", settings.Identity.Kind, settings.Identity.Replica, listener.Addr())

	identity := settings.Identity
	identity.Address = listener.Addr().String()
	announcer := announce.New(settings.Gates, settings.AnnounceEvery, identity, func(current *announce.Announcement) bool {
		if !upstream.Alive() {
			return false
		}
		current.Ready = true
		refresh(current)
		return true
	})
	announceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go announcer.Run(announceCtx)

	select {
	case err := <-serveErr:
		return fmt.Errorf("serve on %s: %w", listener.Addr(), err)
	case <-ctx.Done():
	}
	announcer.Leave(announceCtx)
	drain(upstream, settings.LeaveGrace)
	return server.Shutdown(context.Background())
}

// drain waits for grace and then until no request runs or waits. Gates that have not
// yet received the leaving announcement may send requests during that time.
func drain(upstream Upstream, grace time.Duration) {
	time.Sleep(grace)
	for upstream.ActiveRequests() > 0 {
		time.Sleep(drainPollInterval)
	}
}
