//go:build race

package proxy_test

import "time"

// addedWait is how much longer quick callers may wait beside stalled ones. The race
// detector makes the 400 stalled requests cost ten times their time, all at once.
const addedWait = 2 * time.Second
