package replica

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/rpc"
)

// Guards against two groups of the same VMs beside each other, each acknowledging
// changes that the other lacks. A disk that comes back blank, or a differing list of
// voters, could lead to it while the groups bootstrap. Only one member may bootstrap
// them, once, and only when every other one reports that it holds no group.
func TestDecideInitial(t *testing.T) {
	member := func(vm string, id quorum.ID) quorum.Member { return quorum.Member{ID: id, VM: vm} }
	voters := []Voter{{VM: "a"}, {VM: "b"}, {VM: "c"}}
	names := []string{"a", "b", "c"}
	blank := func(vm string, id quorum.ID) helloResponse {
		return helloResponse{Member: member(vm, id), Voters: names}
	}
	begun := quorum.NewMembership(member("a", 1), member("b", 2), member("c", 3))
	holder := helloResponse{Member: member("b", 2), HasGroups: true, Initial: &begun, Voters: names}
	joined := helloResponse{Member: member("b", 7), HasGroups: true, Voters: names}
	otherList := helloResponse{Member: member("c", 3), Voters: []string{"a", "b", "d"}}
	for name, tc := range map[string]struct {
		self      quorum.Member
		responses []helloResponse
		may       bool
	}{
		"first voter bootstraps when all are blank": {member("a", 1), []helloResponse{blank("b", 2), blank("c", 3)}, true},
		"other voters never bootstrap":              {member("b", 2), []helloResponse{blank("a", 1), blank("c", 3)}, false},
		"first voter waits for all others":          {member("a", 1), []helloResponse{blank("b", 2)}, false},
		"two responses of one member count once":    {member("a", 1), []helloResponse{blank("b", 2), blank("b", 2)}, false},
		"lists of voters must agree":                {member("a", 1), []helloResponse{blank("b", 2), otherList}, false},
		"voter adopts a membership that lists it":   {member("c", 3), []helloResponse{holder}, true},
		"replaced disk is not listed":               {member("a", 9), []helloResponse{holder, blank("c", 3)}, false},
		"group held by a member that joined later":  {member("a", 9), []helloResponse{joined, blank("c", 3)}, false},
		"standby never bootstraps":                  {member("x", 5), []helloResponse{blank("a", 1), blank("b", 2), blank("c", 3)}, false},
	} {
		got, may := decideInitialFromVoters(tc.self, voters, tc.responses)
		if may != tc.may {
			t.Errorf("%s: may start = %t", name, may)
		}
		if may && got.Voters() != len(voters) {
			t.Errorf("%s: starts with membership %v", name, got)
		}
	}
}

// Guards against more than one set of initial members when VMs that know three seed
// addresses each start in any order, some of them late and some with a blank disk.
func TestDecideFounding(t *testing.T) {
	member := func(vm string, id quorum.ID) quorum.Member {
		return quorum.Member{ID: id, VM: vm, Address: "10.0.0." + vm + ":7660"}
	}
	seeds := []string{member("2", 0).Address, member("1", 0).Address, member("3", 0).Address}
	blank := func(vm string, id quorum.ID) helloResponse { return helloResponse{Member: member(vm, id)} }
	begun := quorum.NewMembership(member("1", 1), member("2", 2), member("3", 3))
	holder := helloResponse{Member: member("2", 2), HasGroups: true, Initial: &begun}
	joined := helloResponse{Member: member("2", 7), HasGroups: true}
	for name, tc := range map[string]struct {
		self      quorum.Member
		bootstrap bool
		responses []helloResponse
		may       bool
	}{
		"lowest seed bootstraps when all are blank": {member("1", 1), true, []helloResponse{blank("2", 2), blank("3", 3), blank("4", 4)}, true},
		"other seeds never bootstrap":               {member("2", 2), true, []helloResponse{blank("1", 1), blank("3", 3)}, false},
		"lowest seed waits for all seeds":           {member("1", 1), true, []helloResponse{blank("2", 2), blank("4", 4)}, false},
		"no bootstrap without permission":           {member("1", 1), false, []helloResponse{blank("2", 2), blank("3", 3)}, false},
		"seed adopts a membership that lists it":    {member("3", 3), true, []helloResponse{holder, blank("1", 1)}, true},
		"replaced disk is not listed":               {member("3", 9), false, []helloResponse{holder}, false},
		"group held by a member that joined later":  {member("1", 9), true, []helloResponse{joined, blank("3", 3)}, false},
		"VM that is not a seed never bootstraps":    {member("4", 4), true, []helloResponse{blank("1", 1), blank("2", 2), blank("3", 3)}, false},
	} {
		got, may := decideInitialFromSeeds(tc.self, seeds, tc.bootstrap, tc.responses)
		if may != tc.may {
			t.Errorf("%s: may start = %t", name, may)
		}
		if may && got.Voters() != len(seeds) {
			t.Errorf("%s: starts with membership %v", name, got)
		}
	}
}

// When a VM comes back with a blank disk while its old one is still a member, the new
// disk is added at once and the old one is removed as soon as the new one is a voter.
// The group grows to its target as VMs join, and no further.
func TestNextChangeOfARepair(t *testing.T) {
	voter := func(vm string, id quorum.ID, idle int) quorum.MemberStatus {
		return quorum.MemberStatus{Member: quorum.Member{ID: id, VM: vm}, IdleTicks: idle, Reachable: idle < 10}
	}
	blank := func(vm string, id quorum.ID) quorum.Member { return quorum.Member{ID: id, VM: vm} }
	store := func(m quorum.MemberStatus) quorum.MemberStatus {
		m.Class = "store"
		return m
	}
	storeBlank := func(vm string, id quorum.ID) quorum.Member { return quorum.Member{ID: id, VM: vm, Class: "store"} }
	three := []quorum.MemberStatus{voter("a", 1, 0), voter("b", 2, 1), voter("c", 3, 1)}
	for name, tc := range map[string]struct {
		members    []quorum.MemberStatus
		candidates []quorum.Member
		target     int
		kind       quorum.ChangeKind
		id         quorum.ID
		retiring   string
	}{
		"add a replacement for a retiring VM":             {three, []quorum.Member{blank("d", 4)}, 3, quorum.AddLearner, 4, "c"},
		"remove the retiring VM once replaced":            {append(three[:3:3], voter("d", 4, 1)), nil, 3, quorum.Remove, 3, "c"},
		"keep a retiring VM if too few voters remain":     {three, nil, 3, 0, 0, "c"},
		"remove a retiring surplus voter":                 {append(three[:3:3], voter("d", 4, 1)), nil, 5, quorum.Remove, 4, "d"},
		"retiring VM is no standby":                       {three, []quorum.Member{blank("d", 4)}, 5, 0, 0, "d"},
		"no change needed":                                {three, nil, 3, 0, 0, ""},
		"grow to the target":                              {three, []quorum.Member{blank("d", 4)}, 5, quorum.AddLearner, 4, ""},
		"do not grow beyond the target":                   {three, []quorum.Member{blank("d", 4)}, 3, 0, 0, ""},
		"replace a lost disk at once":                     {three, []quorum.Member{blank("c", 9)}, 3, quorum.AddLearner, 9, ""},
		"remove the replaced disk":                        {append(three[:2:2], voter("c", 3, 20), voter("c", 9, 1)), nil, 5, quorum.Remove, 3, ""},
		"standby replaces a lost VM":                      {append(three[:2:2], voter("c", 3, 60)), []quorum.Member{blank("d", 4)}, 3, quorum.AddLearner, 4, ""},
		"standby of the preferred class first":            {three, []quorum.Member{blank("d", 4), storeBlank("e", 5)}, 5, quorum.AddLearner, 5, ""},
		"preferred class replaces another class":          {three, []quorum.Member{blank("d", 4), storeBlank("e", 5)}, 3, quorum.AddLearner, 5, ""},
		"remove a voter of another class, not the leader": {append(three[:3:3], store(voter("e", 5, 1))), nil, 3, quorum.Remove, 2, ""},
		// Guards against removing a live voter of another class instead of a dead one.
		// Each time a VM died and a new one joined, a control VM was removed in its
		// place. Two of five voters were dead when a third was lost, and jobs could no
		// longer be read although two of three store VMs were alive.
		"keep live voters while one is unreachable":        {append(three[:2:2], store(voter("d", 4, 20)), store(voter("e", 5, 1))), nil, 3, 0, 0, ""},
		"remove an unreachable voter once it is lost":      {append(three[:2:2], store(voter("d", 4, 60)), store(voter("e", 5, 1))), nil, 3, quorum.Remove, 4, ""},
		"any class when one more loss breaks the majority": {append(three[:2:2], store(voter("d", 4, 60)), store(voter("e", 5, 60)), store(voter("f", 6, 1))), []quorum.Member{blank("g", 7)}, 5, quorum.AddLearner, 7, ""},
		"remove a lost VM once replaced":                   {append(three[:2:2], voter("c", 3, 60), voter("d", 4, 0)), nil, 3, quorum.Remove, 3, ""},
	} {
		change, ok := nextChange(repairView{members: tc.members, candidates: tc.candidates, targetVoters: tc.target, lostTicks: 50, preferredClass: "store", self: 1, retiring: []string{tc.retiring}, minVoters: 3})
		if ok != (tc.kind != 0) || change.Kind != tc.kind || change.Member.ID != tc.id {
			t.Errorf("%s: unexpected result %t with change %+v", name, ok, change)
		}
	}
}

// Guards against one VM leading all groups: when it froze, no job was accepted until
// each group had elected another leader. A VM of a group's preferred class leads it,
// but never one that is unreachable, behind or a learner.
func TestGroupsAreLedByThePreferredClass(t *testing.T) {
	member := func(id quorum.ID, class string, match uint64, reachable bool) quorum.MemberStatus {
		return quorum.MemberStatus{Member: quorum.Member{ID: id, VM: class, Class: class}, Match: match, Reachable: reachable}
	}
	control, store := member(1, "control", 9, true), member(2, "store", 9, true)
	learner := member(4, "store", 9, true)
	learner.Learner = true
	for name, tc := range map[string]struct {
		members []quorum.MemberStatus
		self    quorum.ID
		want    quorum.ID
	}{
		"transfer to a store VM":                      {[]quorum.MemberStatus{control, store}, 1, 2},
		"prefer the longest log":                      {[]quorum.MemberStatus{control, member(3, "store", 5, true), store}, 1, 2},
		"skip unreachable voters":                     {[]quorum.MemberStatus{control, member(3, "store", 9, false)}, 1, quorum.None},
		"skip learners":                               {[]quorum.MemberStatus{control, learner}, 1, quorum.None},
		"leader of the preferred class keeps leading": {[]quorum.MemberStatus{control, store}, 2, quorum.None},
		"leader stays without any store VM":           {[]quorum.MemberStatus{control}, 1, quorum.None},
	} {
		got, _ := repairView{members: tc.members, preferredClass: "store", self: tc.self}.preferredLeader()
		if got != tc.want {
			t.Errorf("%s: unexpected leader %v", name, got)
		}
	}
}

// Guards against an initial member that never votes because a leader contacted it
// before it had adopted the initial membership, and failed right afterwards.
func TestAMemberThatHeardALeaderFirstStillTakesTheMembershipOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := &vm{name: "c", address: listener.Addr().String(), folder: t.TempDir(), network: newFaultyNetwork()}
	var chosen atomic.Bool
	mux := http.NewServeMux()
	founder := quorum.Member{ID: 1, VM: "a"}
	rpc.Handle(mux, procedureHello, maxBody, func(_ context.Context, request *helloRequest) (*helloResponse, error) {
		response := &helloResponse{Member: founder, Voters: []string{"a", "b", "c"}}
		if chosen.Load() {
			initial := quorum.NewMembership(founder, quorum.Member{ID: 2, VM: "b"}, request.Member)
			response.Initial, response.HasGroups = &initial, true
		}
		return response, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	founder.Address = strings.TrimPrefix(server.URL, "http://")
	v.voters = []Voter{{VM: "a", Address: founder.Address}, {VM: "b", Address: founder.Address}, {VM: "c", Address: v.address}}
	c := &cluster{t: t, vms: []*vm{v}}
	c.open(v, listener)
	t.Cleanup(v.kill)

	const term = 3
	heartbeat := quorum.Message{Type: quorum.MsgHeartbeat, From: founder.ID, To: v.host.self.ID, Term: term}
	if _, err := v.host.serveMessages(context.Background(), &batch{From: founder.ID, Address: founder.Address, Envelopes: []envelope{{Message: heartbeat}}}); err != nil {
		t.Fatal(err)
	}
	chosen.Store(true)
	c.eventually("the membership is adopted", func() bool { return v.host.Status()[0].IsMember })
	if got := v.host.Status()[0].Term; got < term {
		t.Errorf("the term went back to %d", got)
	}
}
