package replica

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
)

const (
	// minHelloInterval is the interval between hello rounds of a VM that may bootstrap
	// the groups. Other blank members (members with an empty data folder) start with
	// it and back off to maxHelloInterval.
	minHelloInterval = 300 * time.Millisecond
	maxHelloInterval = 2 * time.Second
	helloTimeout     = time.Second
	// seedRoundInterval is the number of rounds after which a blank member that
	// already knows leaders also contacts its seeds again.
	seedRoundInterval = 4
)

// helloRequest introduces a member that does not belong to a group yet.
type helloRequest struct {
	Member quorum.Member `cbor:"1,keyasint"`
	// Blank reports that the member holds no data of any group.
	Blank bool `cbor:"2,keyasint,omitempty"`
}

// helloResponse identifies the responding member and describes what it knows of the
// groups.
type helloResponse struct {
	Member quorum.Member `cbor:"1,keyasint"`
	// HasGroups reports that the responding member knows the initial membership or
	// holds data of a group.
	HasGroups bool `cbor:"2,keyasint,omitempty"`
	// Initial is the membership that the groups were bootstrapped with, if known here.
	Initial *quorum.Membership `cbor:"3,keyasint,omitempty"`
	// Current is the membership of group 0 as known here.
	Current quorum.Membership `cbor:"4,keyasint"`
	Voters  []string          `cbor:"5,keyasint"` // voter VMs in its settings, sorted
	// Leads and Term describe group 0.
	Leads bool   `cbor:"6,keyasint,omitempty"`
	Term  uint64 `cbor:"7,keyasint,omitempty"`
	// Contacts are the addresses of the members that accept blank members: for each
	// group its leader or, if none is known here, all its members.
	Contacts []string `cbor:"8,keyasint,omitempty"`
}

// loadInitial reads the initial membership from the data folder, if there is one.
func (h *Host) loadInitial() error {
	var record initialRecord
	found, err := readRecord(filepath.Join(h.config.Folder, initialFile), &record)
	if err != nil || !found {
		return err
	}
	if record.Groups != h.config.Groups {
		return fmt.Errorf("the settings configure %d groups but the data folder holds %d; the number cannot be changed after bootstrap, restore the previous setting", h.config.Groups, record.Groups)
	}
	h.initial = &record
	return nil
}

func (h *Host) initialMembership() *quorum.Membership {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.initial == nil {
		return nil
	}
	return &h.initial.Membership
}

func (h *Host) anyLogEmpty() bool {
	return slices.ContainsFunc(h.groups, (*group).logEmpty)
}

func (h *Host) hasGroups() bool {
	if h.initialMembership() != nil {
		return true
	}
	return slices.ContainsFunc(h.groups, func(g *group) bool { return !g.blank() })
}

// Known returns the members of all groups, including this one, and the blank members
// that wait to join, sorted by address, as far as this VM knows them.
func (h *Host) Known() []quorum.Member {
	return uniqueByAddress(append(h.Members(), h.recentCandidates()...))
}

// Members returns this member and the members of all groups, sorted by address, as far
// as this VM knows them.
func (h *Host) Members() []quorum.Member {
	members := []quorum.Member{h.selfMember()}
	for id := range h.Groups() {
		members = append(members, h.membersOf(id)...)
	}
	return uniqueByAddress(members)
}

// uniqueByAddress sorts members by address and removes duplicate addresses.
func uniqueByAddress(members []quorum.Member) []quorum.Member {
	slices.SortFunc(members, func(a, b quorum.Member) int { return cmp.Compare(a.Address, b.Address) })
	return slices.CompactFunc(members, func(a, b quorum.Member) bool { return a.Address == b.Address })
}

func (g *group) membership() quorum.Membership {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Membership()
}

// contacts returns the addresses of the members that accept blank members.
func (h *Host) contacts() []string {
	var addresses []string
	for _, g := range h.groups {
		addresses = append(addresses, g.contacts()...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (g *group) contacts() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if leader, known := g.leader(); known {
		return []string{leader.Address}
	}
	var addresses []string
	for _, m := range g.node.Membership().Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

func (h *Host) currentMembership() quorum.Membership {
	return h.groups[0].membership()
}

func (h *Host) voterNames() []string {
	names := make([]string, len(h.config.Voters))
	for i, voter := range h.config.Voters {
		names[i] = voter.VM
	}
	slices.Sort(names)
	return names
}

func (h *Host) selfMember() quorum.Member {
	return quorum.Member{ID: h.self.ID, VM: h.self.VM, Address: h.self.Address, Class: h.config.Class}
}

func (h *Host) serveHello(_ context.Context, request *helloRequest) (*helloResponse, error) {
	if err := h.stopped(); err != nil {
		return nil, err
	}
	if request.Blank {
		h.recordCandidate(request.Member)
	}
	leads, term := h.groups[0].leadership()
	return &helloResponse{
		Member: h.selfMember(), HasGroups: h.hasGroups(), Initial: h.initialMembership(),
		Current: h.currentMembership(), Voters: h.voterNames(), Leads: leads, Term: term, Contacts: h.contacts(),
	}, nil
}

// runJoin adds a blank member to the groups: by bootstrap if the groups exist nowhere,
// otherwise by announcing itself as a replacement candidate. It continues while the log of
// a group is empty, even after contact from a leader: an initial member with an empty log
// votes for nobody, so if that leader failed before it sent the log, the other members could
// not elect a new one without this member.
func (h *Host) runJoin() {
	interval := minHelloInterval
	var contacts []string
	for round := 0; h.anyLogEmpty(); round++ {
		responses := h.sendHellos(h.helloTargets(round, contacts))
		initial, ok := h.decideInitial(responses)
		if ok && (anyInitial(responses) || !h.hasGroups()) {
			if err := h.adoptInitial(initial); err != nil {
				h.fail(err)
				return
			}
			break
		}
		contacts = contactsOf(responses, h.self.Address)
		if !h.mayBootstrap() {
			interval = min(interval*3/2, maxHelloInterval)
		}
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(interval/2 + rand.N(interval)):
		}
	}
	h.logger.Info("joined the groups", zap.Stringer("id", h.self.ID))
}

// anyInitial reports whether a response contains the membership that the groups were
// bootstrapped with. decideInitial lets a member adopt it only if it includes that
// member.
func anyInitial(responses []helloResponse) bool {
	return slices.ContainsFunc(responses, func(response helloResponse) bool { return response.Initial != nil })
}

// mayBootstrap reports whether this VM is one of those that bootstrap the groups
// together.
func (h *Host) mayBootstrap() bool {
	if len(h.config.Seeds) == 0 {
		return slices.ContainsFunc(h.config.Voters, func(v Voter) bool { return v.VM == h.config.VM })
	}
	return h.config.Bootstrap && slices.Contains(h.config.Seeds, h.self.Address)
}

// helloTargets returns the addresses to which this member introduces itself. A VM that
// may bootstrap needs the responses of all others. Any other VM contacts only the
// members that accept it, once it knows them: dozens of standby VMs that contacted
// every member and each other would keep the configured VMs from bootstrapping the
// groups.
func (h *Host) helloTargets(round int, contacts []string) []string {
	if len(contacts) > 0 && !h.mayBootstrap() && round%seedRoundInterval != 0 {
		return contacts
	}
	h.mu.Lock()
	addresses := append(h.config.contacts(), h.seeds...)
	h.mu.Unlock()
	addresses = append(addresses, contacts...)
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == h.self.Address })
}

// contactsOf returns the contacts listed in the responses.
func contactsOf(responses []helloResponse, self string) []string {
	var addresses []string
	for _, response := range responses {
		addresses = append(addresses, response.Contacts...)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == self })
}

// sendHellos introduces this member to all addresses concurrently and returns the
// responses. It also introduces the member to contacts in the responses that are not
// among the addresses, without waiting for them.
func (h *Host) sendHellos(addresses []string) []helloResponse {
	results := make(chan *helloResponse, len(addresses))
	request := helloRequest{Member: h.selfMember(), Blank: true}
	for _, address := range addresses {
		go func() { results <- h.sendHello(address, request) }()
	}
	var responses []helloResponse
	for range addresses {
		if response := <-results; response != nil {
			responses = append(responses, *response)
		}
	}
	for _, contact := range contactsOf(responses, h.self.Address) {
		if !slices.Contains(addresses, contact) {
			h.spawn(func() { h.sendHello(contact, request) })
		}
	}
	return responses
}

func (h *Host) sendHello(address string, request helloRequest) *helloResponse {
	ctx, cancel := context.WithTimeout(h.ctx, helloTimeout)
	defer cancel()
	response, err := rpc.Call(ctx, h.transport.client, address, procedureHello, &request)
	if err != nil {
		return nil
	}
	return response
}

// decideInitialFromVoters returns the membership with which a blank member starts, and
// whether it may start.
//
// Only one member, the first by name in the list of voters, chooses the membership,
// and only after all others have responded and none of them holds a group. A lost disk
// that comes back blank therefore never bootstraps a second group beside an existing
// one: at least one other member would report the existing group. The others adopt the
// choice, which they learn from hello responses, if it lists the ID of their disk. A
// disk that was replaced after the choice is not listed and joins as a replacement.
func decideInitialFromVoters(self quorum.Member, voters []Voter, responses []helloResponse) (quorum.Membership, bool) {
	members := []quorum.Member{self}
	names := make([]string, len(voters))
	for i, voter := range voters {
		names[i] = voter.VM
	}
	slices.Sort(names)
	for _, response := range responses {
		if response.Initial != nil {
			_, listed := response.Initial.Find(self.ID)
			return *response.Initial, listed
		}
		if response.HasGroups {
			return quorum.Membership{}, false
		}
		if slices.Contains(names, response.Member.VM) && slices.Equal(names, response.Voters) {
			members = append(members, response.Member)
		}
	}
	responded := map[string]bool{}
	for _, member := range members {
		responded[member.VM] = true
	}
	return quorum.NewMembership(members...), self.VM == names[0] && len(responded) == len(names)
}

func (h *Host) decideInitial(responses []helloResponse) (quorum.Membership, bool) {
	if len(h.config.Seeds) > 0 {
		return decideInitialFromSeeds(h.selfMember(), h.config.Seeds, h.config.Bootstrap, responses)
	}
	return decideInitialFromVoters(h.selfMember(), h.config.Voters, responses)
}

// decideInitialFromSeeds is decideInitialFromVoters for a member that knows only seeds. The
// VM at the lowest seed address chooses once, after the members at all seed addresses have
// responded and none of them holds a group; the others adopt the choice if it lists their
// disk. A VM that starts later, or returns with a blank disk, must not be configured to
// bootstrap: two groups could exist beside each other, and both would acknowledge changes.
func decideInitialFromSeeds(self quorum.Member, seeds []string, bootstrap bool, responses []helloResponse) (quorum.Membership, bool) {
	members := map[string]quorum.Member{self.Address: self}
	for _, response := range responses {
		if response.Initial != nil {
			_, listed := response.Initial.Find(self.ID)
			return *response.Initial, listed
		}
		if response.HasGroups {
			return quorum.Membership{}, false
		}
		members[response.Member.Address] = response.Member
	}
	if !bootstrap || slices.Min(seeds) != self.Address {
		return quorum.Membership{}, false
	}
	var initial []quorum.Member
	for _, seed := range seeds {
		member, responded := members[seed]
		if !responded {
			return quorum.Membership{}, false
		}
		initial = append(initial, member)
	}
	return quorum.NewMembership(initial...), true
}

// adoptInitial persists the initial membership before this member can vote.
func (h *Host) adoptInitial(initial quorum.Membership) error {
	record := initialRecord{Groups: h.config.Groups, Membership: initial}
	if err := writeRecord(filepath.Join(h.config.Folder, initialFile), record); err != nil {
		return err
	}
	h.mu.Lock()
	h.initial = &record
	h.mu.Unlock()
	for _, g := range h.groups {
		g.adoptInitial()
	}
	return nil
}

// adoptInitial bootstraps the group, unless its leader has already sent state.
func (g *group) adoptInitial() {
	initial := g.host.initialMembership()
	g.mu.Lock()
	defer g.mu.Unlock()
	if initial == nil || !g.node.SetInitialMembership(*initial) {
		return
	}
	g.applied = quorum.BootstrapIndex
	g.counters.snapshotIndex = quorum.BootstrapIndex
	g.flush()
}
