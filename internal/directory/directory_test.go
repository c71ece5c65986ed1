package directory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/member"
)

const loadDigestKind member.DigestKind = 6

func gate(name string, state member.State, draining bool, load directory.GateLoad) member.Member {
	return member.Member{
		Self: name == "a1",
		Record: member.Record{
			VM: member.VM{Name: name, Place: "a", Region: "north", Callers: name + ":80"}, State: state, Draining: draining, Ready: true,
			Digests: []member.Digest{{Kind: loadDigestKind, Data: load.Encode()}},
		},
	}
}

func area(place, region string, stale bool, gates ...string) member.PlaceArea {
	a := member.PlaceArea{Area: member.Area{Place: place, Region: region}, Stale: stale}
	for _, name := range gates {
		a.Entries = append(a.Entries, member.Entry{VM: name, Callers: name + ":80"})
	}
	return a
}

func input() directory.Input {
	return directory.Input{
		Serving: true, Load: loadDigestKind, Lifetime: 10 * time.Second, Limit: 8,
		Members: []member.Member{
			gate("a1", member.Alive, false, directory.GateLoad{InProgress: 90, Capacity: 100}),
			gate("a2", member.Alive, false, directory.GateLoad{InProgress: 10, Capacity: 100}),
			gate("a3", member.Suspect, false, directory.GateLoad{}),
			gate("a4", member.Alive, true, directory.GateLoad{}),
		},
		Areas: []member.PlaceArea{
			area("b", "north", false, "b1"), area("c", "north", true, "c1"), area("d", "south", false, "d1"),
		},
	}
}

func names(answer directory.Answer) []string {
	var list []string
	for _, entry := range answer.Entries {
		list = append(list, entry.VM)
	}
	return list
}

func TestAnswerNamesServingGatesOwnPlaceFirst(t *testing.T) {
	g := NewWithT(t)
	dir := directory.New(1000, rand.New(rand.NewPCG(1, 1)))
	first := map[string]int{}
	for range 1000 {
		answer, err := dir.Decide(input())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(names(answer)[:2]).To(ConsistOf("a1", "a2"))
		g.Expect(names(answer)[2:]).To(Equal([]string{"b1"}))
		first[names(answer)[0]]++
		g.Expect(answer.Revision).To(Equal(uint64(1001)))
	}
	// Free shares of 0.1 and 0.9: one caller in ten gets a1 first.
	g.Expect(first["a1"]).To(BeNumerically("~", 100, 40))

	changed := input()
	changed.Members[1].Draining = true
	answer, err := dir.Decide(changed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names(answer)).To(Equal([]string{"a1", "b1"}))
	g.Expect(answer.Revision).To(Equal(uint64(1002)))

	changed.CallerPlace = "b"
	answer, err = dir.Decide(changed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names(answer)).To(Equal([]string{"b1", "a1"}))
}

// A gate that has lost its lease because it is cut off must not list itself to callers that
// still reach it, nor gates that it suspects only because it is cut off.
func TestGateWithoutLeaseNamesOthersOrNone(t *testing.T) {
	g := NewWithT(t)
	dir := directory.New(1000, rand.New(rand.NewPCG(1, 1)))
	cut := input()
	cut.Serving = false
	answer, err := dir.Decide(cut)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names(answer)).To(Equal([]string{"a2", "b1"}))

	// A gate that has just started knows no upstream yet.
	starting := input()
	starting.Members[1].Ready = false
	answer, err = dir.Decide(starting)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names(answer)).To(Equal([]string{"a1", "b1"}))

	cut.Members, cut.Areas = cut.Members[:1], cut.Areas[2:]
	answer, err = dir.Decide(cut)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names(answer)).To(Equal([]string{"d1"}))

	cut.Areas = nil
	_, err = dir.Decide(cut)
	g.Expect(err).To(MatchError(ContainSubstring("no gate is known")))
}

// A caller that got the address of a gate 1 s before an operator stops it keeps the address
// for 10 s, connects at the end of them and streams for a minute. The drain must neither
// refuse the connection nor cut the stream.
func TestDrainOutlastsAnswersAndStreams(t *testing.T) {
	start := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	drain := directory.NewDrain(directory.DrainConfig{Lifetime: 10 * time.Second, Spread: 5 * time.Second, Longest: 5 * time.Minute})
	steps := []struct {
		after      time.Duration
		inProgress int
		want       directory.Phase
	}{
		{0, 0, directory.Lingering},
		{14 * time.Second, 0, directory.Lingering},
		{15 * time.Second, 1, directory.Finishing},
		{74 * time.Second, 1, directory.Finishing},
		{75 * time.Second, 0, directory.Stopped},
		{5 * time.Minute, 1, directory.Stopped},
	}
	g := NewWithT(t)
	g.Expect(drain.Phase(start, 0)).To(Equal(directory.Serving))
	drain.Begin(start)
	drain.Begin(start.Add(time.Second)) // a second signal does not extend the drain
	for _, step := range steps {
		g.Expect(drain.Phase(start.Add(step.after), step.inProgress)).To(Equal(step.want), fmt.Sprint(step))
	}
	g.Expect(drain.AnswersEnd()).To(Equal(start.Add(15 * time.Second)))
}
