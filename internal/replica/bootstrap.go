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
	// minHelloInterval is how often a VM that may found the groups looks for the
	// others, and where all other blank members begin; they are less and less in
	// haste, up to maxHelloInterval.
	minHelloInterval = 300 * time.Millisecond
	maxHelloInterval = 2 * time.Second
	helloTimeout     = time.Second
	// seedRoundInterval is how many rounds lie between two in which a blank member that
	// knows leaders asks its seeds as well.
	seedRoundInterval = 4
)

// helloRequest introduces a member that is in no group yet.
type helloRequest struct {
	Member quorum.Member `cbor:"1,keyasint"`
	// Blank says that the member holds nothing of any group.
	Blank bool `cbor:"2,keyasint,omitempty"`
}

// helloResponse says who answers and what it knows of the groups.
type helloResponse struct {
	Member quorum.Member `cbor:"1,keyasint"`
	// HasGroups says that the answering member holds a group's membership.
	HasGroups bool `cbor:"2,keyasint,omitempty"`
	// Initial is the membership that the groups began with, if known here.
	Initial *quorum.Membership `cbor:"3,keyasint,omitempty"`
	// Current is the membership of group 0 as known here.
	Current quorum.Membership `cbor:"4,keyasint"`
	Voters  []string          `cbor:"5,keyasint"` // VMs of its settings, sorted
	// Leads and Term are those of group 0.
	Leads bool   `cbor:"6,keyasint,omitempty"`
	Term  uint64 `cbor:"7,keyasint,omitempty"`
	// Contacts are the addresses of those who take blank members in: of each
	// group its leader or, if none is known here, its members.
	Contacts []string `cbor:"8,keyasint,omitempty"`
}

func (h *Host) loadInitial() error {
	var record initialRecord
	found, err := readRecord(filepath.Join(h.config.Folder, initialFile), &record)
	if err != nil || !found {
		return err
	}
	if record.Groups != h.config.Groups {
		return fmt.Errorf("the settings name %d groups, the data folder holds %d; the number cannot be changed", h.config.Groups, record.Groups)
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

// Known gives the members of all groups, this one included, and the blank
// members that wait to be taken in, by address, as far as this VM knows them.
func (h *Host) Known() []quorum.Member {
	return uniqueByAddress(append(h.Members(), h.recentCandidates()...))
}

// Members gives the members of all groups and this VM, by address, as far as this
// VM knows them.
func (h *Host) Members() []quorum.Member {
	members := []quorum.Member{h.selfMember()}
	for id := range h.Groups() {
		members = append(members, h.membersOf(id)...)
	}
	return uniqueByAddress(members)
}

// uniqueByAddress sorts members, each address once.
func uniqueByAddress(members []quorum.Member) []quorum.Member {
	slices.SortFunc(members, func(a, b quorum.Member) int { return cmp.Compare(a.Address, b.Address) })
	return slices.CompactFunc(members, func(a, b quorum.Member) bool { return a.Address == b.Address })
}

func (g *group) membership() quorum.Membership {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Membership()
}

// contacts gives those who take blank members in.
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

// runJoin brings a blank member into the groups: by bootstrap when they do not
// exist anywhere, else by making itself known as a replacement.
//
// It goes on while a group's log is empty, even if a leader was heard: an initial
// member with an empty log votes for nobody, and if that leader were lost before it
// has sent the log, the other members could not elect one without it.
func (h *Host) runJoin() {
	interval := minHelloInterval
	var contacts []string
	for round := 0; h.anyLogEmpty(); round++ {
		answers := h.helloAll(h.helloTargets(round, contacts))
		initial, ok := h.decideInitial(answers)
		if ok && (anyInitial(answers) || !h.hasGroups()) {
			if err := h.adoptInitial(initial); err != nil {
				h.fail(err)
				return
			}
			break
		}
		contacts = contactsOf(answers, h.self.Address)
		if !h.mayBootstrap() {
			interval = min(interval*3/2, maxHelloInterval)
		}
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(interval/2 + rand.N(interval)):
		}
	}
	h.logger.Info("member of the groups", zap.Stringer("id", h.self.ID))
}

// anyInitial says whether an answer holds the membership that the groups began with.
// decideInitial lets a member take it over only if it is among them.
func anyInitial(answers []helloResponse) bool {
	return slices.ContainsFunc(answers, func(answer helloResponse) bool { return answer.Initial != nil })
}

// mayBootstrap says whether this VM is one of those that begin the groups together.
func (h *Host) mayBootstrap() bool {
	if len(h.config.Seeds) == 0 {
		return slices.ContainsFunc(h.config.Voters, func(v Voter) bool { return v.VM == h.config.VM })
	}
	return h.config.Found && slices.Contains(h.config.Seeds, h.self.Address)
}

// helloTargets gives the addresses to introduce this member to. A founder needs the
// answers of all others; anyone else, once it knows them, only who takes it in:
// dozens of spares that greet all members and each other would keep the VMs that
// settings name from founding the groups.
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

// contactsOf gives the contacts that answers name.
func contactsOf(answers []helloResponse, self string) []string {
	var addresses []string
	for _, answer := range answers {
		addresses = append(addresses, answer.Contacts...)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == self })
}

// helloAll introduces this member at all addresses at once, and to the contacts
// among the answers that are not among these, and gives the answers.
func (h *Host) helloAll(addresses []string) []helloResponse {
	results := make(chan *helloResponse, len(addresses))
	request := helloRequest{Member: h.selfMember(), Blank: true}
	for _, address := range addresses {
		go func() { results <- h.hello(address, request) }()
	}
	var answers []helloResponse
	for range addresses {
		if answer := <-results; answer != nil {
			answers = append(answers, *answer)
		}
	}
	for _, contact := range contactsOf(answers, h.self.Address) {
		if !slices.Contains(addresses, contact) {
			h.spawn(func() { h.hello(contact, request) })
		}
	}
	return answers
}

func (h *Host) hello(address string, request helloRequest) *helloResponse {
	ctx, cancel := context.WithTimeout(h.ctx, helloTimeout)
	defer cancel()
	answer, err := rpc.Call(ctx, h.transport.client, address, procedureHello, &request)
	if err != nil {
		return nil
	}
	return answer
}

// decideInitialFromVoters says with which membership a blank member begins, if it may.
//
// One member only, the first of the settings' list by name, chooses it, and
// only when every other one has answered and none holds a group. So a disk that
// was lost and comes back blank can never begin a second group beside the one
// that the others hold: any of them would have to say that it has none. The
// others take over the choice, which they find by asking, if it names them by
// their disk; a disk that was replaced after the choice is not named, and joins
// as a replacement.
func decideInitialFromVoters(self quorum.Member, voters []Voter, answers []helloResponse) (quorum.Membership, bool) {
	members := []quorum.Member{self}
	names := make([]string, len(voters))
	for i, voter := range voters {
		names[i] = voter.VM
	}
	slices.Sort(names)
	for _, answer := range answers {
		if answer.Initial != nil {
			_, named := answer.Initial.Find(self.ID)
			return *answer.Initial, named
		}
		if answer.HasGroups {
			return quorum.Membership{}, false
		}
		if slices.Contains(names, answer.Member.VM) && slices.Equal(names, answer.Voters) {
			members = append(members, answer.Member)
		}
	}
	answered := map[string]bool{}
	for _, member := range members {
		answered[member.VM] = true
	}
	return quorum.NewMembership(members...), self.VM == names[0] && len(answered) == len(names)
}

func (h *Host) decideInitial(answers []helloResponse) (quorum.Membership, bool) {
	if len(h.config.Seeds) > 0 {
		return decideInitialFromSeeds(h.selfMember(), h.config.Seeds, h.config.Found, answers)
	}
	return decideInitialFromVoters(h.selfMember(), h.config.Voters, answers)
}

// decideInitialFromSeeds says with which membership a blank member begins that knows
// seeds only, if it may.
//
// The VM at the lowest of the seeds' addresses chooses, once, when those at all
// of them have answered and none holds a group; the others take the choice over
// if it names their disks. A VM that starts later, or comes back with a blank
// disk, is not told to found: if it could, its group would stand beside the one
// that the others hold, and both would acknowledge changes.
func decideInitialFromSeeds(self quorum.Member, seeds []string, found bool, answers []helloResponse) (quorum.Membership, bool) {
	members := map[string]quorum.Member{self.Address: self}
	for _, answer := range answers {
		if answer.Initial != nil {
			_, named := answer.Initial.Find(self.ID)
			return *answer.Initial, named
		}
		if answer.HasGroups {
			return quorum.Membership{}, false
		}
		members[answer.Member.Address] = answer.Member
	}
	if !found || slices.Min(seeds) != self.Address {
		return quorum.Membership{}, false
	}
	var founders []quorum.Member
	for _, seed := range seeds {
		member, answered := members[seed]
		if !answered {
			return quorum.Membership{}, false
		}
		founders = append(founders, member)
	}
	return quorum.NewMembership(founders...), true
}

// adoptInitial syncs the membership before the first vote can be given.
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

// adoptInitial begins the group unless its leader was faster.
func (g *group) adoptInitial() {
	initial := g.host.initialMembership()
	g.mu.Lock()
	defer g.mu.Unlock()
	if initial == nil || !g.node.Begin(*initial) {
		return
	}
	g.applied = quorum.BootstrapIndex
	g.counters.snapshotIndex = quorum.BootstrapIndex
	g.flush()
}
