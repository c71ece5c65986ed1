//go:build !race

package proxy_test

import "time"

// Sizes of TestStalledCallersDoNotHarmQuickOnes.
const (
	stalledCallers = 200 // of each kind
	quickCallers   = 50
	addedWait      = 100 * time.Millisecond // how much longer quick callers may wait beside the others
)
