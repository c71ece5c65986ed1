// Package limit decides how many requests of a team the gates of a site may run
// together.
//
// Each team has one owner among the gates, which all gates choose alike. The owner
// holds the team's credit, a token bucket; each request of the team takes one credit
// from it. While there is plenty, gates start requests at once and charge them to the
// owner beside; when credit runs low the owner tells all gates, and for a while they
// ask before they start a request of the team. When the owner does not answer, the
// standby, the second choice, grants a few.
//
// It is a decision package: time and randomness are passed in, and nothing here does
// I/O. The load that it answers: hundreds of gates, each of which sees a request of a
// small team once in many seconds, and teams that send many times what they may.
package limit

import "time"

// Cap is what operators allow a team.
type Cap struct {
	Rate  float64 // requests a second; 0: any
	Burst int     // requests beyond Rate at once
}

// Unlimited says whether any number of requests may run.
func (c Cap) Unlimited() bool { return c.Rate <= 0 }

// Tolerance says how many more requests than a cap allows may run in any window.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64 // part of what the cap allows in a window
	Slack     float64 // requests
}

// margins is how many things may each use a margin in the same window: a burst, three
// moves of the credit to another gate, and requests that started while credit ran low.
const margins = 5

// margin gives an equal part of the requests above the cap that may run in a window.
func (t Tolerance) margin(c Cap) float64 {
	return (t.Overshoot*(c.Rate*t.Window.Seconds()+float64(c.Burst)) + t.Slack) / margins
}
