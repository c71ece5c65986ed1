package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/internal/member"
)

// Limits of a wait for a condition, and the length of a cut, in virtual time.
const (
	conditionLimit = 3 * time.Minute
	cutLength      = 2 * time.Minute
)

// measureLosses brings losses about in the planned fleet and prints the virtual
// time until each is noticed and healed.
func measureLosses(context.Context, *cli.Command) error {
	w := plannedFleet()
	if err := w.run(warmUp); err != nil {
		return err
	}
	fmt.Printf("\n### Losses in %d VMs, %d places, %d regions\n\n| event | until | seconds |\n|---|---|---|\n", len(w.order), places, regions)
	for _, measure := range []func(*network) error{loseGate, loseDelegate, drainGate, losePlace, cutRegion} {
		if err := measure(w); err != nil {
			return err
		}
	}
	return nil
}

func plannedFleet() *network {
	w := newNetwork()
	w.rowBytes = numberRow
	w.listBytes = replicasListed * identityBytes
	for place := range places {
		for i := range plannedPerSite {
			w.add(fmt.Sprintf("region-%d", place%regions), fmt.Sprintf("place-%02d", place), i, "10.0.0.0:8082", "10.0.0.1:8082")
		}
	}
	return w
}

// until runs until the condition holds and prints how long that took.
func (w *network) until(event, what string, holds func() bool) error {
	begun := w.now
	for !holds() {
		if w.now.Sub(begun) > conditionLimit {
			return errors.New(event + ": not within the limit: " + what)
		}
		if err := w.run(tick); err != nil {
			return err
		}
	}
	fmt.Printf("| %s | %s | %.1f |\n", event, what, w.now.Sub(begun).Seconds())
	return nil
}

// inPlace lists the running nodes of a place.
func (w *network) inPlace(place string) []*node {
	var list []*node
	for _, n := range w.order {
		if strings.HasPrefix(n.name, place+"-vm") && !n.stopped {
			list = append(list, n)
		}
	}
	return list
}

// allHold reports whether all nodes hold vm in a state that suits.
func allHold(nodes []*node, vm string, suits func(member.Member) bool) bool {
	for _, n := range nodes {
		for _, m := range n.member.Members() {
			if m.VM.Name == vm && !suits(m) {
				return false
			}
		}
	}
	return true
}

// named reports whether any node still names vm to callers by an area.
func named(w *network, nodes []*node, vm string) bool {
	for _, n := range nodes {
		for _, area := range n.member.Areas(w.now) {
			for _, entry := range area.Entries {
				if entry.VM == vm && !area.Stale {
					return true
				}
			}
		}
	}
	return false
}

func notServing(m member.Member) bool { return !m.Serving() }
func isLost(m member.Member) bool     { return m.State == member.Lost }
func isServing(m member.Member) bool  { return m.Serving() }

func loseGate(w *network) error { return w.loseAndReturn("a gate is lost", w.byRank("place-03", 7)) }

func loseDelegate(w *network) error {
	return w.loseAndReturn("a place's delegate is lost", w.byRank("place-03", 0))
}

// byRank finds a node by its position among the contacts that its place
// publishes; from the fifth on, any that is not among them.
func (w *network) byRank(place string, rank int) *node {
	observer := w.inPlace("place-09")[0] // of the same region
	nodes := w.inPlace(place)
	for _, area := range observer.member.Areas(w.now) {
		if area.Place != place || area.Stale {
			continue
		}
		for i, contact := range area.Contacts {
			for _, n := range nodes {
				if n.name == contact.VM && i == rank {
					return n
				}
			}
		}
	}
	return nodes[rank]
}

func (w *network) loseAndReturn(event string, lost *node) error {
	lost.stopped = true
	mates, neighbours := w.inPlace(lost.place), w.inPlace("place-09")
	if err := w.until(event, "no gate of its place names it to callers", func() bool { return allHold(mates, lost.name, notServing) }); err != nil {
		return err
	}
	if err := w.until(event+", then", "no gate of the region names it", func() bool { return !named(w, neighbours, lost.name) }); err != nil {
		return err
	}
	if err := w.until(event+", then", "it counts as lost in its place", func() bool { return allHold(mates, lost.name, isLost) }); err != nil {
		return err
	}
	lost.stopped = false
	return w.until("it runs on", "its place serves callers by it again", func() bool { return allHold(mates, lost.name, isServing) })
}

func drainGate(w *network) error {
	drained := w.byRank("place-03", 1)
	w.take(drained, drained.member.SetDraining(w.now))
	mates, neighbours := w.inPlace("place-03"), w.inPlace("place-09")
	if err := w.until("a gate drains", "no gate of its place names it", func() bool { return allHold(mates, drained.name, notServing) }); err != nil {
		return err
	}
	return w.until("a gate drains, then", "no gate of the region names it", func() bool { return !named(w, neighbours, drained.name) })
}

func losePlace(w *network) error {
	return w.cutAndHeal("a place is cut off", func(n *node) bool { return n.place == "place-03" }, "place-09", "place-03")
}

func cutRegion(w *network) error {
	return w.cutAndHeal("a region is cut off", func(n *node) bool { return n.region == "region-2" }, "place-09", "place-02")
}

// cutAndHeal cuts the nodes on one side from all others for a while.
func (w *network) cutAndHeal(event string, side func(*node) bool, observers, cutPlace string) error {
	w.cut = func(from, to *node) bool { return side(from) != side(to) }
	outside, inside := w.inPlace(observers), w.inPlace(cutPlace)
	fresh := func(nodes []*node, place string) func() bool {
		return func() bool { return allSee(w, nodes, place, false) }
	}
	stale := func(nodes []*node, place string) func() bool {
		return func() bool { return allSee(w, nodes, place, true) }
	}
	if err := w.until(event, "gates outside name none of its gates", stale(outside, cutPlace)); err != nil {
		return err
	}
	if err := w.run(cutLength); err != nil {
		return err
	}
	if !allHold(inside, inside[0].name, isServing) {
		return errors.New(event + ": a VM inside lost its place")
	}
	w.cut = nil
	if err := w.until(event+", healed", "gates outside name its gates", fresh(outside, cutPlace)); err != nil {
		return err
	}
	return w.until(event+", healed", "gates inside name those outside", fresh(inside, observers))
}

// allSee reports whether all nodes hold the place to be stale, or none does.
func allSee(w *network, nodes []*node, place string, stale bool) bool {
	for _, n := range nodes {
		found := false
		for _, area := range n.member.Areas(w.now) {
			found = found || (area.Place == place && !area.Stale)
		}
		if found == stale {
			return false
		}
	}
	return true
}
