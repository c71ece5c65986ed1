// Package load is an open-loop load generator. It sends requests at the times at which
// independent callers would send them, whether or not earlier ones were answered, and
// measures latencies from these intended times. Slow answers therefore do not hide load
// (coordinated omission).
package load

import (
	"math/rand/v2"
	"time"
)

// Burst multiplies the arrival rate for a period.
type Burst struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Factor float64       `json:"factor"`
}

// Profile describes a Poisson process of arrivals.
type Profile struct {
	Rate   float64       `json:"rate"` // arrivals per second
	Length time.Duration `json:"length"`
	Bursts []Burst       `json:"bursts,omitempty"`
}

// rateAt returns the rate at a time since the start.
func (p *Profile) rateAt(at time.Duration) float64 {
	rate := p.Rate
	for _, burst := range p.Bursts {
		if at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	return rate
}

// maxRate returns an upper bound of the rate at all times.
func (p *Profile) maxRate() float64 {
	rate := p.Rate
	for _, burst := range p.Bursts {
		rate *= max(burst.Factor, 1)
	}
	return rate
}

// Arrivals draws arrival times since the start, in order. It draws them at the maximum
// rate and thins them to the rate at each time.
func (p *Profile) Arrivals(random *rand.Rand) []time.Duration {
	var arrivals []time.Duration
	maxRate := p.maxRate()
	if maxRate <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= p.Length {
			return arrivals
		}
		if random.Float64()*maxRate < p.rateAt(at) {
			arrivals = append(arrivals, at)
		}
	}
}
