//go:build !race

package proxy_test

import "time"

// addedWait is how much longer quick callers may wait beside stalled ones.
const addedWait = 100 * time.Millisecond
