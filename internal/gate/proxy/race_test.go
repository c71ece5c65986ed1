//go:build race

package proxy_test

import "time"

// Sizes of TestStalledCallersDoNotHarmQuickOnes. The race detector makes each request
// cost about ten times its time; with all of them the test would measure that.
const (
	stalledCallers = 50 // of each kind
	quickCallers   = 10
	addedWait      = time.Second
)
