package replica

import (
	"testing"

	"slateway.example/slateway/internal/quorum"
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
		got, may := decideInitial(tc.self, voters, tc.answers)
		if may != tc.may {
			t.Errorf("%s: %t", name, may)
		}
		if may && got.Voters() != len(voters) {
			t.Errorf("%s: begins with %v", name, got)
		}
	}
}
