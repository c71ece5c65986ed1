package credit

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/limit"
)

// kind is the type of a packet.
type kind int

const (
	kindAsk kind = iota + 1
	kindAnswer
	kindReturn
	kindLow    // the team's credit runs low
	kindActing // the sender is the team's standby and acts for its owner
	// An older gate ignores the kinds below.
	kindShareReport // what the sender has started for teams that the receiver owns
	kindShareAnswer // what the other gates have started for them
)

// packet is a datagram between gates.
type packet struct {
	Kind          kind          `cbor:"1,keyasint"`
	Number        uint64        `cbor:"2,keyasint,omitempty"` // number of the ask at the asking gate
	Gate          string        `cbor:"3,keyasint,omitempty"` // asking process
	Team          string        `cbor:"4,keyasint,omitempty"`
	Rate          float64       `cbor:"5,keyasint,omitempty"`
	Burst         int           `cbor:"6,keyasint,omitempty"`
	Version       uint64        `cbor:"7,keyasint,omitempty"`
	Verdict       limit.Verdict `cbor:"8,keyasint,omitempty"`
	Wait          time.Duration `cbor:"9,keyasint,omitempty"`
	Started       bool          `cbor:"10,keyasint,omitempty"`
	Low           bool          `cbor:"11,keyasint,omitempty"`
	OwnerTimedOut bool          `cbor:"12,keyasint,omitempty"`
	// An older gate does not send and ignores the fields below; its asks count as in time.
	Overdue      bool          `cbor:"13,keyasint,omitempty"`
	InTimeFor    time.Duration `cbor:"14,keyasint,omitempty"`
	OverdueTurns bool          `cbor:"15,keyasint,omitempty"`

	Shares []shareCounter `cbor:"16,keyasint,omitempty"`
}

// maxPacketBytes bounds a datagram, which carries a team name and numbers.
const maxPacketBytes = 2 << 10

func askPacket(ask limit.Ask) *packet {
	return &packet{
		Kind: kindAsk, Number: ask.ID.Number, Gate: ask.ID.Gate, Team: ask.Team,
		Rate: ask.Cap.Rate, Burst: ask.Cap.Burst, Version: ask.Version, Started: ask.Started, OwnerTimedOut: ask.OwnerTimedOut,
		Overdue: ask.Overdue, InTimeFor: ask.InTimeFor,
	}
}

func (p *packet) ask() limit.Ask {
	return limit.Ask{
		ID: limit.AskID{Gate: p.Gate, Number: p.Number}, Team: p.Team,
		Cap: limit.Cap{Rate: p.Rate, Burst: p.Burst}, Version: p.Version, Started: p.Started, OwnerTimedOut: p.OwnerTimedOut,
		Overdue: p.Overdue, InTimeFor: p.InTimeFor,
	}
}

func answerPacket(number uint64, answer limit.Answer) *packet {
	return &packet{Kind: kindAnswer, Number: number, Verdict: answer.Verdict, Wait: answer.Wait, Low: answer.Low, OverdueTurns: answer.OverdueTurns}
}

func (p *packet) answer() limit.Answer {
	return limit.Answer{Verdict: p.Verdict, Wait: p.Wait, Low: p.Low, OverdueTurns: p.OverdueTurns}
}

func returnPacket(team string) *packet { return &packet{Kind: kindReturn, Team: team} }

func actingPacket(team string) *packet { return &packet{Kind: kindActing, Team: team} }

func lowPacket(team string) *packet { return &packet{Kind: kindLow, Team: team} }

func listen(address string) (*net.UDPConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen.peers address %q is not IP:port: %w", address, err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams of other gates on %s (free the UDP port or change listen.peers): %w", address, err)
	}
	return socket, nil
}

// send sends a packet to a gate. A lost packet shows as a missing answer.
func (s *Service) send(gate string, p *packet) {
	s.mu.Lock()
	address, known := s.peers[gate]
	s.mu.Unlock()
	if known {
		s.sendTo(address, p)
	}
}

func (s *Service) sendTo(address netip.AddrPort, p *packet) {
	data, err := codec.Marshal(p)
	if err == nil {
		_, err = s.socket.WriteToUDPAddrPort(data, address)
	}
	if err != nil {
		s.options.Metrics.Count("team_cap.not_sent")
		s.options.Log.Debug("cannot send datagram to gate", zap.Stringer("address", address), zap.Error(err))
	}
}

// receive handles datagrams until the socket is closed.
func (s *Service) receive() {
	buffer := make([]byte, maxPacketBytes)
	for {
		size, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.options.Log.Debug("cannot receive datagram", zap.Error(err))
			continue
		}
		var p packet
		if err := codec.Unmarshal(buffer[:size], &p); err != nil {
			s.options.Metrics.Count("team_cap.unreadable")
			continue
		}
		s.handle(from, &p)
	}
}

func (s *Service) handle(from netip.AddrPort, p *packet) {
	switch p.Kind {
	case kindAsk:
		s.sendTo(from, answerPacket(p.Number, s.grant(p.ask())))
	case kindAnswer:
		s.mu.Lock()
		waiting := s.pending[p.Number]
		s.mu.Unlock()
		select {
		case waiting <- p.answer():
		default: // the ask has timed out
		}
	case kindReturn:
		s.refund(p.Team)
	case kindLow:
		s.markLow(p.Team)
	case kindActing:
		s.yield(p.Team)
	case kindShareReport:
		s.answerShares(from, p)
	case kindShareAnswer:
		s.applyShares(vmOf(p.Gate), p.Gate, p.shareCounters())
	}
}
