package crash

import "time"

// flowMemory is the time before a death within which an answer with a part must have begun, and
// then flowed, to clear the part of that death.
const flowMemory = time.Second

// maxFlows bounds the parts of a generation of flows.
const maxFlows = 1 << 14

// flows holds when answers with parts last began and flowed, for at least flowMemory.
type flows struct {
	current, previous map[Part]time.Time
	rotatedAt         time.Time
}

func (f *flows) add(now, begun time.Time, parts []Part) {
	if f.current == nil || now.Sub(f.rotatedAt) >= flowMemory+maxFlowDelay {
		f.previous, f.current, f.rotatedAt = f.current, make(map[Part]time.Time), now
	}
	for _, part := range parts {
		if at, known := f.current[part]; (known || len(f.current) < maxFlows) && begun.After(at) {
			f.current[part] = begun
		}
	}
}

const (
	// reputationLifetime is how long answers that flowed speak for their parts where other parts
	// explain a death as well.
	reputationLifetime = 5 * time.Minute
	// maxReputations bounds the parts of a generation.
	maxReputations = 1 << 14
)

// reputations holds the parts with which answers have flowed in the last minutes.
type reputations struct {
	current, previous map[Part]struct{}
	rotatedAt         time.Time
}

func (p *reputations) add(now time.Time, parts []Part) {
	if p.current == nil || now.Sub(p.rotatedAt) >= reputationLifetime {
		p.previous, p.current, p.rotatedAt = p.current, make(map[Part]struct{}), now
	}
	for _, part := range parts {
		if len(p.current) < maxReputations {
			p.current[part] = struct{}{}
		}
	}
}

func (p *reputations) isEmpty() bool { return len(p.current)+len(p.previous) == 0 }

func (p *reputations) has(part Part) bool {
	if _, found := p.current[part]; found {
		return true
	}
	_, found := p.previous[part]
	return found
}

// maxFlowDelay is how long after its beginning an answer may be reported as flowing.
const maxFlowDelay = time.Second

// last returns when an answer with the part last began; zero: none is remembered.
func (f *flows) last(part Part) time.Time {
	at := f.current[part]
	if before := f.previous[part]; before.After(at) {
		return before
	}
	return at
}
