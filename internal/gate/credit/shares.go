package credit

import (
	"context"
	"math"
	"net/netip"
	"strings"
	"time"

	"slateway.example/slateway/internal/share"
)

// Shares is what this gate has started for teams, and where it is charged for what other
// gates have started.
type Shares interface {
	// ShareUsage returns the usage since the last call of teams that compete for capacity.
	ShareUsage(now time.Time) []share.Usage
	// ChargeShare charges a team and reports whether it is in use here.
	ChargeShare(charge share.Charge) bool
}

// shareReportInterval is how often a gate where requests wait reports its usage.
const shareReportInterval = 200 * time.Millisecond

// shareCounter is a share.Counter on the wire.
type shareCounter struct {
	Service    string  `cbor:"1,keyasint,omitempty"`
	Team       string  `cbor:"2,keyasint,omitempty"`
	Generation uint64  `cbor:"3,keyasint"`
	Cost       float64 `cbor:"4,keyasint"`
}

const (
	// maxCounterBytes bounds the encoded numbers and keys of a counter without its names.
	maxCounterBytes = 32
	// packetReserve is the room that a packet of counters leaves for its other fields.
	packetReserve = 256
)

// sharePackets returns the packets that carry the counters, each within maxPacketBytes.
func sharePackets(k kind, process string, counters []share.Counter) []*packet {
	var packets []*packet
	size := 0
	for _, c := range counters {
		bytes := maxCounterBytes + len(c.Service) + len(c.Team)
		if len(packets) == 0 || size+bytes > maxPacketBytes-packetReserve {
			packets = append(packets, &packet{Kind: k, Gate: process})
			size = 0
		}
		size += bytes
		last := packets[len(packets)-1]
		last.Shares = append(last.Shares, shareCounter{Service: c.Service, Team: c.Team, Generation: c.Generation, Cost: c.Cost})
	}
	return packets
}

func (p *packet) shareCounters() []share.Counter {
	counters := make([]share.Counter, 0, len(p.Shares))
	for _, c := range p.Shares {
		// One infinite cost would make all sums of its team meaningless.
		if c.Cost >= 0 && !math.IsInf(c.Cost, 0) {
			counters = append(counters, share.Counter{Key: share.Key{Service: c.Service, Team: c.Team}, Generation: c.Generation, Cost: c.Cost})
		}
	}
	return counters
}

// runShares reports this gate's usage to the owners of the teams until ctx ends.
func (s *Service) runShares(ctx context.Context) {
	ticker := time.NewTicker(shareReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.reportShares(now)
		}
	}
}

func (s *Service) reportShares(now time.Time) {
	used := s.options.Shares.ShareUsage(now)
	s.sharesMu.Lock()
	reports := s.reporter.Reports(now, used, s.ownerOf)
	for _, r := range reports {
		if r.Owner != s.options.VM && s.reporter.Sent(r.Owner) {
			s.options.Metrics.Count("share.owner_unanswered")
		}
	}
	s.sharesMu.Unlock()
	for _, r := range reports {
		if r.Owner == s.options.VM {
			s.applyShares(s.options.VM, s.process, s.collectShares(s.process, r.Counters))
			continue
		}
		for _, p := range sharePackets(kindShareReport, s.process, r.Counters) {
			s.send(r.Owner, p)
		}
	}
}

func (s *Service) ownerOf(team string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders.Choose(team).Owner
}

// collectShares adds the report of a gate's process and returns the answer.
func (s *Service) collectShares(process string, counters []share.Counter) []share.Counter {
	s.sharesMu.Lock()
	defer s.sharesMu.Unlock()
	return s.collector.Reported(time.Now(), process, counters)
}

// applyShares charges what other gates have started, by the answer of an owner's process.
func (s *Service) applyShares(owner, process string, counters []share.Counter) {
	if s.options.Shares == nil {
		return
	}
	s.sharesMu.Lock()
	charges := s.reporter.Answered(time.Now(), owner, process, counters)
	s.sharesMu.Unlock()
	for _, charge := range charges {
		if s.options.Shares.ChargeShare(charge) {
			s.options.Metrics.Add("share.charged_remote", int64(charge.Cost+0.5))
		}
	}
}

func (s *Service) answerShares(from netip.AddrPort, p *packet) {
	for _, answer := range sharePackets(kindShareAnswer, s.process, s.collectShares(p.Gate, p.shareCounters())) {
		s.sendTo(from, answer)
	}
}

// vmOf returns the VM of a process, which is named by its VM and its start.
func vmOf(process string) string {
	if i := strings.LastIndexByte(process, '/'); i >= 0 {
		return process[:i]
	}
	return process
}
