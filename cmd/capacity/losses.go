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

// Timeout of a wait for a condition and duration of a network partition, in virtual
// time.
const (
	conditionTimeout = 3 * time.Minute
	isolationTime    = 2 * time.Minute
)

// measureLosses simulates failures in the planned fleet and prints the virtual time
// until each is detected and until the fleet has recovered.
func measureLosses(context.Context, *cli.Command) error {
	w := plannedFleet()
	if err := w.run(warmUp); err != nil {
		return err
	}
	fmt.Printf("\n### Losses in %d VMs, %d places, %d regions\n\n| event | until | seconds |\n|---|---|---|\n", len(w.order), places, regions)
	for _, measure := range []func(*network) error{stopGate, stopDelegate, drainGate, isolatePlace, isolateRegion} {
		if err := measure(w); err != nil {
			return err
		}
	}
	return nil
}

func plannedFleet() *network {
	w := newNetwork()
	w.rowBytes = numericRowBytes
	w.listBytes = replicasListed * identityBytes
	for place := range places {
		for i := range vmsPerPlace {
			w.add(fmt.Sprintf("region-%d", place%regions), fmt.Sprintf("place-%02d", place), i, "10.0.0.0:8082", "10.0.0.1:8082")
		}
	}
	return w
}

// measureUntil runs the network until the condition holds and prints how long that
// took.
func (w *network) measureUntil(event, what string, holds func() bool) error {
	begun := w.now
	for !holds() {
		if w.now.Sub(begun) > conditionTimeout {
			return errors.New(event + ": condition not reached before the timeout: " + what)
		}
		if err := w.run(tick); err != nil {
			return err
		}
	}
	fmt.Printf("| %s | %s | %.1f |\n", event, what, w.now.Sub(begun).Seconds())
	return nil
}

// inPlace returns the running nodes of a place.
func (w *network) inPlace(place string) []*node {
	var list []*node
	for _, n := range w.order {
		if strings.HasPrefix(n.name, place+"-vm") && !n.stopped {
			list = append(list, n)
		}
	}
	return list
}

// allMatch reports whether the entry of vm matches at every node that has one.
func allMatch(nodes []*node, vm string, matches func(member.Member) bool) bool {
	for _, n := range nodes {
		for _, m := range n.member.Members() {
			if m.VM.Name == vm && !matches(m) {
				return false
			}
		}
	}
	return true
}

// isListed reports whether any node still lists vm for callers in an area that is not
// stale.
func isListed(w *network, nodes []*node, vm string) bool {
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

func stopGate(w *network) error { return w.stopAndRestart("a gate is lost", w.byRank("place-03", 7)) }

func stopDelegate(w *network) error {
	return w.stopAndRestart("a place's delegate is lost", w.byRank("place-03", 0))
}

// byRank returns the node at a position among the contacts that its place publishes.
// A rank beyond the contacts selects the node with that index in the place.
func (w *network) byRank(place string, rank int) *node {
	observer := w.inPlace("place-09")[0] // in the same region
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

func (w *network) stopAndRestart(event string, lost *node) error {
	lost.stopped = true
	localNodes, regionNodes := w.inPlace(lost.place), w.inPlace("place-09")
	if err := w.measureUntil(event, "no gate of its place names it to callers", func() bool { return allMatch(localNodes, lost.name, notServing) }); err != nil {
		return err
	}
	if err := w.measureUntil(event+", then", "no gate of the region names it", func() bool { return !isListed(w, regionNodes, lost.name) }); err != nil {
		return err
	}
	if err := w.measureUntil(event+", then", "it counts as lost in its place", func() bool { return allMatch(localNodes, lost.name, isLost) }); err != nil {
		return err
	}
	lost.stopped = false
	return w.measureUntil("it runs on", "its place serves callers by it again", func() bool { return allMatch(localNodes, lost.name, isServing) })
}

func drainGate(w *network) error {
	drained := w.byRank("place-03", 1)
	w.send(drained, drained.member.SetDraining(w.now))
	localNodes, regionNodes := w.inPlace("place-03"), w.inPlace("place-09")
	if err := w.measureUntil("a gate drains", "no gate of its place names it", func() bool { return allMatch(localNodes, drained.name, notServing) }); err != nil {
		return err
	}
	return w.measureUntil("a gate drains, then", "no gate of the region names it", func() bool { return !isListed(w, regionNodes, drained.name) })
}

func isolatePlace(w *network) error {
	return w.isolateAndHeal("a place is cut off", func(n *node) bool { return n.place == "place-03" }, "place-09", "place-03")
}

func isolateRegion(w *network) error {
	return w.isolateAndHeal("a region is cut off", func(n *node) bool { return n.region == "region-2" }, "place-09", "place-02")
}

// isolateAndHeal partitions the nodes on one side from all others for isolationTime,
// and then heals the partition.
func (w *network) isolateAndHeal(event string, side func(*node) bool, observers, cutPlace string) error {
	w.cut = func(from, to *node) bool { return side(from) != side(to) }
	outside, inside := w.inPlace(observers), w.inPlace(cutPlace)
	fresh := func(nodes []*node, place string) func() bool {
		return func() bool { return allSeeStale(w, nodes, place, false) }
	}
	stale := func(nodes []*node, place string) func() bool {
		return func() bool { return allSeeStale(w, nodes, place, true) }
	}
	if err := w.measureUntil(event, "gates outside name none of its gates", stale(outside, cutPlace)); err != nil {
		return err
	}
	if err := w.run(isolationTime); err != nil {
		return err
	}
	if !allMatch(inside, inside[0].name, isServing) {
		return errors.New(event + ": a VM inside the partition is no longer serving in its own place")
	}
	w.cut = nil
	if err := w.measureUntil(event+", healed", "gates outside name its gates", fresh(outside, cutPlace)); err != nil {
		return err
	}
	return w.measureUntil(event+", healed", "gates inside name those outside", fresh(inside, observers))
}

// allSeeStale reports whether the place is stale at all nodes (stale is true) or at
// none of them (stale is false). A place that a node does not know counts as stale.
func allSeeStale(w *network, nodes []*node, place string, stale bool) bool {
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
