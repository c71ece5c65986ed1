// Package load offers requests at the times at which independent callers would
// send them, whether or not earlier ones were answered, and measures the
// answers from those times on. Slow answers so do not hide load.
package load

import (
	"math/rand/v2"
	"time"
)

// Burst multiplies the rate of arrivals for a time.
type Burst struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Factor float64       `json:"factor"`
}

// Profile describes a Poisson process.
type Profile struct {
	Rate   float64       `json:"rate"` // arrivals a second
	Length time.Duration `json:"length"`
	Bursts []Burst       `json:"bursts,omitempty"`
}

// rateAt gives the rate at a time from the start.
func (p *Profile) rateAt(at time.Duration) float64 {
	rate := p.Rate
	for _, burst := range p.Bursts {
		if at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	return rate
}

// highest gives a bound of the rate at all times.
func (p *Profile) highest() float64 {
	rate := p.Rate
	for _, burst := range p.Bursts {
		rate *= max(burst.Factor, 1)
	}
	return rate
}

// Arrivals draws the times of arrivals from the start, in order: those of a
// process at the highest rate, thinned to the rate of the moment.
func (p *Profile) Arrivals(random *rand.Rand) []time.Duration {
	var arrivals []time.Duration
	highest := p.highest()
	if highest <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= p.Length {
			return arrivals
		}
		if random.Float64()*highest < p.rateAt(at) {
			arrivals = append(arrivals, at)
		}
	}
}
