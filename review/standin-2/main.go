// Command standin-2 plays the scripts of the second review: it starts a small site of the
// project's own processes, plays its clients, replicas and platform, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(ctx context.Context, r *record, trouble bool) (int, error){
	"crash-one":  crashOne,
	"job-bursts": jobBursts,
	"founding":   founding,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 110*time.Second)
	defer cancel()
	code, err := cases[os.Args[1]](ctx, r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.verdict("the case could not run: %v", err)
		code = failed
	}
	os.Exit(code)
}
