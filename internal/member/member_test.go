package member_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"slateway.example/slateway/internal/member"
)

const load member.DigestKind = 1

func allAlive(place string, count int) []string {
	var states []string
	for i := range count {
		states = append(states, fmt.Sprintf("%s-%d:alive", place, i))
	}
	return states
}

func (w *network) setDigest(g *WithT, address, value string) {
	output, err := w.nodes[address].SetDigest(w.now, load, []byte(value))
	g.Expect(err).NotTo(HaveOccurred())
	w.apply(address, output)
}

func TestDigestReachesThePlaceInOneHop(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(1)
	place := w.addPlace("a", 6)
	w.run(3 * time.Second)
	for _, address := range place {
		g.Expect(w.states(address)).To(Equal(allAlive("a", 6)))
	}
	w.setDigest(g, place[3], "busy")
	w.apply(place[4], w.nodes[place[4]].SetDraining(w.now))
	w.run(step)
	for _, address := range place {
		g.Expect(w.digest(address, "a-3", load)).To(Equal("busy"))
		g.Expect(w.nodes[address].Members()[4].Serving()).To(BeFalse())
	}
}

// A VM's process is paused for eight seconds, as by a stalled host, and considered lost.
// When it resumes, it must be alive to the others at once, and it must not suspect them
// because their answers arrived during the pause.
func TestPausedVMRefutesAndSuspectsNoOne(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(2)
	place := w.addPlace("a", 5)
	w.run(3*time.Second + step) // ends with a probe, whose answer is not read
	w.paused[place[2]] = true
	w.run(8 * time.Second)
	g.Expect(w.states(place[0])).To(ContainElement("a-2:lost"))

	w.paused[place[2]] = false
	w.events = nil
	w.run(2 * time.Second)
	for _, address := range place {
		g.Expect(w.states(address)).To(Equal(allAlive("a", 5)))
	}
	for _, event := range w.events {
		g.Expect(event).NotTo(HavePrefix(place[2]+" 1"), "the resumed VM changed the state of another one")
	}
}

// A switch cuts off half of a place for a minute, while the only seed is gone, and each
// side considers the other lost. Without reconnects the place would stay partitioned,
// because nobody sends to lost VMs. While the partition heals, no VM may be considered
// lost by its own side.
func TestPartitionOfAPlaceHeals(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(3)
	place := w.addPlace("a", 9)
	w.run(3 * time.Second)
	w.paused[place[0]] = true
	w.run(10 * time.Second)
	left := func(address string) bool { return address <= place[4] }
	w.cut = func(from, to string) bool { return left(from) != left(to) }
	w.run(time.Minute)
	g.Expect(w.states(place[1])[1:]).To(Equal(append(allAlive("a", 5)[1:], "a-5:lost", "a-6:lost", "a-7:lost", "a-8:lost")))

	w.cut = func(string, string) bool { return false }
	w.events = nil
	w.run(15 * time.Second)
	for _, address := range place[1:] {
		g.Expect(w.states(address)[1:]).To(Equal(allAlive("a", 9)[1:]))
	}
	g.Expect(strings.Join(w.events, "\n")).NotTo(ContainSubstring(" lost"))
}

// A gate is cut off from the other VMs, as by a faulty network card. Callers that still
// reach it would be served from an outdated view, so it must detect its isolation.
func TestIsolatedVMKnowsThatItIsAlone(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(4)
	place := w.addPlace("a", 4)
	w.run(3 * time.Second)
	w.cut = func(from, to string) bool { return from == place[1] || to == place[1] }
	w.run(6 * time.Second)
	g.Expect(w.nodes[place[1]].Isolated(w.now)).To(BeTrue())
	g.Expect(w.nodes[place[0]].Isolated(w.now)).To(BeFalse())
	w.cut = func(string, string) bool { return false }
	w.run(10 * time.Second)
	g.Expect(w.nodes[place[1]].Isolated(w.now)).To(BeFalse())

	single := newNetwork(4)
	only := single.add("b", 0, "b:0")
	single.run(time.Hour / 60)
	g.Expect(single.nodes[only].Isolated(single.now)).To(BeFalse())
}

// A VM dies and its process restarts: before the failure was detected, after it was
// considered lost, or with its clock set back by a minute. The others must replace the
// digests of the old run by those of the new run at once.
func TestRestartedVMRejoinsAtOnce(t *testing.T) {
	for name, downtime := range map[string]time.Duration{"unnoticed": step, "lost": 10 * time.Second, "clock back": -time.Minute} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newNetwork(5)
			place := w.addPlace("a", 4)
			w.run(3 * time.Second)
			w.setDigest(g, place[2], "old")
			w.setDigest(g, place[2], "old but later")
			w.paused[place[2]] = true
			w.run(max(downtime, step))
			real := w.now
			w.now = w.now.Add(min(downtime, 0))
			w.add("a", 2, place[0], place[1])
			w.now = real
			w.paused[place[2]] = false
			w.setDigest(g, place[2], "new")
			w.run(2 * time.Second)
			for _, address := range place {
				g.Expect(w.states(address)).To(Equal(allAlive("a", 4)))
				g.Expect(w.digest(address, "a-2", load)).To(Equal("new"))
			}
		})
	}
}

// Places exchange their sums and a few contacts only. A place that is cut off is marked
// stale until it is connected again.
func TestSumsTravelBetweenPlaces(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(6)
	var all []string
	for _, place := range []string{"a", "b", "c"} {
		for i := range 7 {
			all = append(all, w.add(place, i, "a:0", "b:0"))
		}
	}
	for _, address := range all {
		w.nodes[address].SetSum(load, []byte("sum of "+address[:1]))
	}
	w.run(15 * time.Second)
	g.Expect(w.areas("c:5")).To(Equal([]string{"a 7 sum of a false", "b 7 sum of b false"}))
	w.cut = func(from, to string) bool { return from[:1] != to[:1] && (from[:1] == "b" || to[:1] == "b") }
	w.run(25 * time.Second)
	g.Expect(w.areas("c:5")).To(Equal([]string{"a 7 sum of a false", "b 7 sum of b true"}))
	w.cut = func(string, string) bool { return false }
	w.run(10 * time.Second)
	for _, address := range all {
		g.Expect(w.areas(address)).To(HaveLen(2))
		g.Expect(strings.Join(w.areas(address), " ")).NotTo(ContainSubstring("true"))
	}
	g.Expect(w.largest).To(BeNumerically("<=", member.DefaultPacketBytes))
}

func (w *network) areas(address string) []string {
	var areas []string
	for _, a := range w.nodes[address].Areas(w.now) {
		areas = append(areas, fmt.Sprintf("%s %d %s %t", a.Place, a.VMs, a.Sums[0].Data, a.Stale))
	}
	return areas
}

// Whatever packets the network loses, duplicates and reorders, and whichever VMs pause:
// once the network is reliable again, the views of all VMs of the place converge.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		w := newNetwork(rapid.Uint64().Draw(rt, "seed"))
		w.loss = rapid.Float64Range(0, 0.4).Draw(rt, "loss")
		w.duplicate = rapid.Float64Range(0, 0.3).Draw(rt, "double")
		w.jitter = time.Duration(rapid.IntRange(0, 800).Draw(rt, "jitter")) * time.Millisecond
		count := rapid.IntRange(2, 6).Draw(rt, "vms")
		place := w.addPlace("a", count)
		last := map[string]string{}
		for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			address := rapid.SampledFrom(place).Draw(rt, "vm")
			if rapid.Bool().Draw(rt, "pause") {
				w.paused[address] = !w.paused[address]
			}
			last[address] = fmt.Sprint(i)
			w.setDigest(g, address, last[address])
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "wait")) * step)
		}
		w.loss, w.duplicate, w.jitter = 0, 0, 0
		clear(w.paused)
		w.run(time.Minute)
		for _, address := range place {
			g.Expect(w.states(address)).To(Equal(allAlive("a", count)))
			for owner, value := range last {
				g.Expect(w.digest(address, strings.Replace(owner, ":", "-", 1), load)).To(Equal(value))
			}
		}
	})
}

// A place's delegate dies, another VM publishes the place's area for a while, the delegate
// comes back, and a gate is drained. Other places that kept the area of the second
// publisher would send callers to the closed port of the drained gate. Within the six
// seconds that a drain waits, the gate must disappear from all areas, whichever VM was
// the delegate.
func TestDrainedGateIsForgottenAfterAChangeOfDelegate(t *testing.T) {
	const drainWait = 6 * time.Second
	for dead := range 4 {
		g := NewWithT(t)
		w := newNetwork(7)
		for _, place := range []string{"a", "b"} {
			for i := range 4 {
				w.add(place, i, "a:0", "b:0")
			}
		}
		w.run(20 * time.Second)
		w.paused[fmt.Sprintf("a:%d", dead)] = true
		w.run(10 * time.Second)
		w.paused[fmt.Sprintf("a:%d", dead)] = false
		w.run(time.Second)
		drained := fmt.Sprintf("a:%d", (dead+1)%4)
		w.apply(drained, w.nodes[drained].SetDraining(w.now))
		w.run(drainWait)
		for i := range 4 {
			for _, a := range w.nodes[fmt.Sprintf("b:%d", i)].Areas(w.now) {
				for _, entry := range a.Entries {
					g.Expect(entry.Callers).NotTo(Equal("callers-"+drained), "after a-%d was lost", dead)
				}
			}
		}
	}
}
