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

// A disk comes back blank, or a settings list differs, while the groups begin.
// Two groups of the same VMs beside each other would each acknowledge changes
// that the other does not have. Only one member may begin them, once, and only
// when every other one says that it holds none.
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
		self    quorum.Member
		answers []helloResponse
		may     bool
	}{
		"the first begins when all are blank":        {member("a", 1), []helloResponse{blank("b", 2), blank("c", 3)}, true},
		"another never begins":                       {member("b", 2), []helloResponse{blank("a", 1), blank("c", 3)}, false},
		"the first waits for all":                    {member("a", 1), []helloResponse{blank("b", 2)}, false},
		"one answering twice is not two":             {member("a", 1), []helloResponse{blank("b", 2), blank("b", 2)}, false},
		"lists must agree":                           {member("a", 1), []helloResponse{blank("b", 2), otherList}, false},
		"another takes over a choice that names it":  {member("c", 3), []helloResponse{holder}, true},
		"a blank disk is not named":                  {member("a", 9), []helloResponse{holder, blank("c", 3)}, false},
		"a member that joined later holds the group": {member("a", 9), []helloResponse{joined, blank("c", 3)}, false},
		"a spare never begins":                       {member("x", 5), []helloResponse{blank("a", 1), blank("b", 2), blank("c", 3)}, false},
	} {
		got, may := decideInitialFromVoters(tc.self, voters, tc.answers)
		if may != tc.may {
			t.Errorf("%s: %t", name, may)
		}
		if may && got.Voters() != len(voters) {
			t.Errorf("%s: begins with %v", name, got)
		}
	}
}

// VMs that know three addresses each start in any order, some of them late,
// some with a disk that was lost. Exactly one set of founders may come of it.
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
		self    quorum.Member
		found   bool
		answers []helloResponse
		may     bool
	}{
		"the lowest address begins when all are blank": {member("1", 1), true, []helloResponse{blank("2", 2), blank("3", 3), blank("4", 4)}, true},
		"another seed never begins":                    {member("2", 2), true, []helloResponse{blank("1", 1), blank("3", 3)}, false},
		"it waits for all seeds":                       {member("1", 1), true, []helloResponse{blank("2", 2), blank("4", 4)}, false},
		"a later start never begins":                   {member("1", 1), false, []helloResponse{blank("2", 2), blank("3", 3)}, false},
		"a seed takes over a choice that names it":     {member("3", 3), true, []helloResponse{holder, blank("1", 1)}, true},
		"a blank disk is not named":                    {member("3", 9), false, []helloResponse{holder}, false},
		"a member that joined later holds the group":   {member("1", 9), true, []helloResponse{joined, blank("3", 3)}, false},
		"a VM that is no seed never begins":            {member("4", 4), true, []helloResponse{blank("1", 1), blank("2", 2), blank("3", 3)}, false},
	} {
		got, may := decideInitialFromSeeds(tc.self, seeds, tc.found, tc.answers)
		if may != tc.may {
			t.Errorf("%s: %t", name, may)
		}
		if may && got.Voters() != len(seeds) {
			t.Errorf("%s: begins with %v", name, got)
		}
	}
}

// A VM comes back with a blank disk while its old one is still listed: the new
// one is taken in at once and the old one leaves as soon as the new one counts.
// VMs that join later make the group grow to its target, and no further.
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
		"a successor for a retiring":   {three, []quorum.Member{blank("d", 4)}, 3, quorum.AddLearner, 4, "c"},
		"which leaves after it":        {append(three[:3:3], voter("d", 4, 1)), nil, 3, quorum.Remove, 3, "c"},
		"not while too few would stay": {three, nil, 3, 0, 0, "c"},
		"without one if enough stay":   {append(three[:3:3], voter("d", 4, 1)), nil, 5, quorum.Remove, 4, "d"},
		"a retiring one is no spare":   {three, []quorum.Member{blank("d", 4)}, 5, 0, 0, "d"},
		"nothing to do":                {three, nil, 3, 0, 0, ""},
		"grow to the target":           {three, []quorum.Member{blank("d", 4)}, 5, quorum.AddLearner, 4, ""},
		"no further":                   {three, []quorum.Member{blank("d", 4)}, 3, 0, 0, ""},
		"a lost disk at once":          {three, []quorum.Member{blank("c", 9)}, 3, quorum.AddLearner, 9, ""},
		"the old disk leaves":          {append(three[:2:2], voter("c", 3, 20), voter("c", 9, 1)), nil, 5, quorum.Remove, 3, ""},
		"a spare for a lost VM":        {append(three[:2:2], voter("c", 3, 60)), []quorum.Member{blank("d", 4)}, 3, quorum.AddLearner, 4, ""},
		"the preferred class first":    {three, []quorum.Member{blank("d", 4), storeBlank("e", 5)}, 5, quorum.AddLearner, 5, ""},
		"in the place of another":      {three, []quorum.Member{blank("d", 4), storeBlank("e", 5)}, 3, quorum.AddLearner, 5, ""},
		"which leaves, no leader":      {append(three[:3:3], store(voter("e", 5, 1))), nil, 3, quorum.Remove, 2, ""},
		// Jobs can no longer be read, with two of three store VMs alive: a VM died
		// and a new one joined, a control VM left in its place, and so again. Two
		// of five voters were dead when the third loss came.
		"no live one leaves for a dead one":        {append(three[:2:2], store(voter("d", 4, 20)), store(voter("e", 5, 1))), nil, 3, 0, 0, ""},
		"but the dead one, once it is lost":        {append(three[:2:2], store(voter("d", 4, 60)), store(voter("e", 5, 1))), nil, 3, quorum.Remove, 4, ""},
		"any class when one more loss is too much": {append(three[:2:2], store(voter("d", 4, 60)), store(voter("e", 5, 60)), store(voter("f", 6, 1))), []quorum.Member{blank("g", 7)}, 5, quorum.AddLearner, 7, ""},
		"the lost VM leaves after it":              {append(three[:2:2], voter("c", 3, 60), voter("d", 4, 0)), nil, 3, quorum.Remove, 3, ""},
	} {
		change, ok := nextChange(repairView{members: tc.members, candidates: tc.candidates, target: tc.target, lostTicks: 50, preferredClass: "store", self: 1, retiring: []string{tc.retiring}, minVoters: 3})
		if ok != (tc.kind != 0) || change.Kind != tc.kind || change.Member.ID != tc.id {
			t.Errorf("%s: %v %+v", name, ok, change)
		}
	}
}

// The VM that leads everything freezes: no job is accepted until another one is
// elected for each group. A VM of the class that a group prefers leads it, so that
// one loss meets one of them, and never one that is behind or leaves.
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
		"a store takes over":         {[]quorum.MemberStatus{control, store}, 1, 2},
		"the one with the most":      {[]quorum.MemberStatus{control, member(3, "store", 5, true), store}, 1, 2},
		"not one out of reach":       {[]quorum.MemberStatus{control, member(3, "store", 9, false)}, 1, quorum.None},
		"not a learner":              {[]quorum.MemberStatus{control, learner}, 1, quorum.None},
		"a store that leads stays":   {[]quorum.MemberStatus{control, store}, 2, quorum.None},
		"without any store it stays": {[]quorum.MemberStatus{control}, 1, quorum.None},
	} {
		got, _ := repairView{members: tc.members, preferredClass: "store", self: tc.self}.preferredLeader()
		if got != tc.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Guards against an initial member that never votes, because a leader was heard
// before it had taken over the initial membership and was lost right after.
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
		answer := &helloResponse{Member: founder, Voters: []string{"a", "b", "c"}}
		if chosen.Load() {
			initial := quorum.NewMembership(founder, quorum.Member{ID: 2, VM: "b"}, request.Member)
			answer.Initial, answer.HasGroups = &initial, true
		}
		return answer, nil
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
	c.eventually("the membership is taken over", func() bool { return v.host.Status()[0].IsMember })
	if got := v.host.Status()[0].Term; got < term {
		t.Errorf("the term went back to %d", got)
	}
}
