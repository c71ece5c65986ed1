// Package host runs a stand-in as a process: its listener, its announcements
// and its graceful end.
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

// Upstream is a stand-in that a process hosts.
type Upstream interface {
	http.Handler
	Alive() bool
	Busy() int // requests that run or wait
}

// drainPoll is how often a leaving stand-in looks whether it is idle.
const drainPoll = 20 * time.Millisecond

// Settings say how a stand-in is hosted.
type Settings struct {
	Listen        string
	Gates         []announce.Gate
	AnnounceEvery time.Duration
	LeaveGrace    time.Duration // how long a leaving stand-in still takes new requests
	Identity      announce.Announcement
}

// Flags are the command-line flags that every stand-in has.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT` to serve on; port 0 takes a free one"},
		&cli.StringSliceFlag{Name: "gate", Usage: "`IP:PORT` of a gate's callers' listener to announce to, =IP:PORT to announce that address there; repeatable"},
		&cli.StringFlag{Name: "service", Usage: "`NAME` of the service that this replica is of", Required: true},
		&cli.StringFlag{Name: "replica", Usage: "`NAME` of this replica", Required: true},
		&cli.StringFlag{Name: "place", Value: "local", Usage: "`NAME` of the place"},
		&cli.StringFlag{Name: "vm", Value: "local", Usage: "`NAME` of the VM"},
		&cli.DurationFlag{Name: "announce-every", Value: time.Second, Usage: "time between announcements"},
		&cli.DurationFlag{Name: "leave-grace", Value: 2 * time.Second, Usage: "time after SIGTERM in which new requests are still taken"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests that run at the same time"},
		&cli.StringFlag{Name: "run-log", Usage: "`FILE` that gets a JSON line at each start and end of a run"},
		&cli.StringFlag{Name: "crash-marker", Value: "crash-upstream", Usage: "`TEXT` whose request ends this process; empty for none"},
	}
}

// SettingsFrom reads the values of Flags.
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

// OpenRunLog opens the file of --run-log for appending; nil without the flag.
func OpenRunLog(command *cli.Command) (*os.File, error) {
	name := command.String("run-log")
	if name == "" {
		return nil, nil
	}
	return os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}

// Run serves upstream and announces it until ctx ends. Then it announces that
// it leaves, takes requests for LeaveGrace more, finishes all that run, and
// returns. refresh sets the changing fields of an announcement.
func Run(ctx context.Context, settings Settings, upstream Upstream, refresh func(*announce.Announcement)) error {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w; give another --listen", settings.Listen, err)
	}
	server := &http.Server{Handler: upstream, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
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
	announcing, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go announcer.Run(announcing)

	select {
	case err := <-served:
		return fmt.Errorf("serve on %s: %w", listener.Addr(), err)
	case <-ctx.Done():
	}
	announcer.Leave(announcing)
	drain(upstream, settings.LeaveGrace)
	return server.Shutdown(context.Background())
}

// drain waits for grace, and on until no request runs or waits. Gates that
// heard late of the leaving may send until then.
func drain(upstream Upstream, grace time.Duration) {
	time.Sleep(grace)
	for upstream.Busy() > 0 {
		time.Sleep(drainPoll)
	}
}
