// Package limit enforces the request caps of teams across all gates of a site.
//
// Every team has one owner gate, on which all gates agree by hashing. The owner keeps
// the team's token bucket, and every request of the team takes one credit from it.
// While credit is plentiful, gates start requests at once and charge the owner in the
// background. When credit runs low, the owner notifies all gates, which then ask the
// owner before they start a request of the team for some seconds. When the owner does
// not answer, the standby, the team's second choice by hash, grants a few requests.
//
// Package limit is a decision package: it receives time and randomness as arguments
// and does no I/O. It is designed for hundreds of gates, each of which sees a request
// of a small team only every few seconds, and for teams that send many times their cap.
package limit

import "time"

// Cap is the request limit that operators set for a team.
type Cap struct {
	Rate  float64 // requests per second; 0: unlimited
	Burst int     // requests allowed at once in addition to Rate
}

// Unlimited reports whether the cap allows any number of requests.
func (c Cap) Unlimited() bool { return c.Rate <= 0 }

// Tolerance bounds the requests above the cap that may run in any window.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64 // fraction of the requests that the cap allows in a window
	Slack     float64 // number of requests
}

// marginsPerWindow is how many events may each use up a margin in the same window: a
// burst, three moves of the credit to another gate, and the requests that were started
// before the gates learned that credit runs low.
const marginsPerWindow = 5

// margin returns an equal share of the requests above the cap that may run in a window.
func (t Tolerance) margin(c Cap) float64 {
	return (t.Overshoot*(c.Rate*t.Window.Seconds()+float64(c.Burst)) + t.Slack) / marginsPerWindow
}
