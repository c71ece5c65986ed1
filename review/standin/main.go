// Command standin runs the cases of this folder: it starts a small site of slateway's own
// processes, stand-ins for replicas, and plays the client, the operator and the platform.
//
//	standin replica ...   one replica, as a process of its own
//	standin case N        case N; exit status 0: the rule held, 1: broken, 2: could not run
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	troubleName = "TROUBLE" // environment variable; 0: without the disruption
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

// cases holds the cases by their number.
var cases = map[string]func(*site) (broken bool, err error){
	"1": lostServiceCase,
	"2": crashedAnswerCase,
	"3": foreignPingCase,
}

func main() {
	switch {
	case len(os.Args) > 2 && os.Args[1] == "replica":
		runReplica(os.Args[2:])
	case len(os.Args) == 4 && os.Args[1] == "case" && cases[os.Args[2]] != nil:
		os.Exit(runCase(os.Args[2], os.Args[3]))
	default:
		fmt.Fprintln(os.Stderr, "usage: standin case N RECORD | standin replica FLAGS")
		os.Exit(exitNotRun)
	}
}

// runCase runs a case and writes its record.
func runCase(number, recordPath string) int {
	s, err := newSite(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer s.close()
	s.trouble = os.Getenv(troubleName) != "0"
	s.note("case %s, disruption: %t", number, s.trouble)
	broken, err := s.runLimited(cases[number])
	switch {
	case err != nil:
		s.note("COULD NOT RUN: %v", err)
		return exitNotRun
	case broken:
		s.note("RESULT: the rule was broken")
		return exitBroken
	default:
		s.note("RESULT: the rule held")
		return exitHeld
	}
}

// runLimited runs a case until it ends, its time is over or this process is told to stop.
func (s *site) runLimited(run func(*site) (bool, error)) (broken bool, err error) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = run(s)
	}()
	select {
	case <-done:
		return broken, err
	case <-stopped:
		return false, errors.New("stopped by a signal")
	case <-time.After(caseLimit):
		return false, errors.New("the time is over")
	}
}
