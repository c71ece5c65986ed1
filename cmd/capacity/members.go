package main

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"
)

// Bytes of a load row: as the exchange between gates encodes it, with the replica's
// name and the field names, and as numbers that refer to a list of replicas.
const (
	namedRowBytes   = 90
	numericRowBytes = 8
)

var placeSizes = []int{5, 10, 19, 50, 100, 200}

func measurePlace(context.Context, *cli.Command) error {
	for _, row := range []struct {
		name  string
		bytes int
	}{{"no loads", 0}, {"rows of numbers", numericRowBytes}, {"rows with names", namedRowBytes}} {
		fmt.Printf("\n### One place, %s\n\n", row.name)
		if err := placeTable(row.bytes); err != nil {
			return err
		}
	}
	return nil
}

func placeTable(rowBytes int) error {
	packets := &series{name: "packets/s out"}
	out := &series{name: "B/s out"}
	in := &series{name: "B/s in"}
	processor := &series{name: "us of processor/s"}
	memory := &series{name: "KB of heap"}
	for _, size := range placeSizes {
		heap := heapBytes()
		w := newNetwork()
		w.rowBytes = rowBytes
		for i := range size {
			w.add("r1", "place-a", i, "10.0.0.0:8082")
		}
		all, spent, err := w.measure()
		if err != nil {
			return err
		}
		average := averageOf(all)
		packets.add(size, average.packets)
		out.add(size, average.out)
		in.add(size, average.in)
		processor.add(size, spent*1e6)
		memory.add(size, (heapBytes()-heap)/float64(size)/1024)
		runtime.KeepAlive(w)
	}
	printTable("VMs", []*series{packets, out, in, processor, memory})
	return nil
}

func averageOf(all []traffic) traffic {
	var sum traffic
	for _, t := range all {
		sum.packets += t.packets
		sum.out += t.out
		sum.in += t.in
	}
	n := float64(len(all))
	return traffic{sum.packets / n, sum.out / n, sum.in / n}
}

// The planned fleet.
const (
	regions        = 6
	places         = 22
	replicasListed = 12  // replicas that a place publishes to other places
	identityBytes  = 284 // per replica, measured by the subcommand replicas
	vmsPerPlace    = 19
)

func measureFleet(context.Context, *cli.Command) error {
	fmt.Printf("\n### %d regions, %d places, all loads as rows of numbers\n\n", regions, places)
	mean := &series{name: "mean B/s in+out"}
	highest := &series{name: "highest B/s in+out"}
	processor := &series{name: "us of processor/s"}
	memory := &series{name: "KB of heap"}
	for _, perPlace := range []int{2, 5, 10, vmsPerPlace} {
		heap := heapBytes()
		w := newNetwork()
		w.rowBytes = numericRowBytes
		w.listBytes = replicasListed * identityBytes
		for place := range places {
			for i := range perPlace {
				w.add(fmt.Sprintf("region-%d", place%regions), fmt.Sprintf("place-%02d", place), i, "10.0.0.0:8082", "10.0.0.1:8082")
			}
		}
		all, spent, err := w.measure()
		if err != nil {
			return err
		}
		maximum := 0.0
		for _, t := range all {
			maximum = max(maximum, t.in+t.out)
		}
		average := averageOf(all)
		size := perPlace * places
		mean.add(size, average.in+average.out)
		highest.add(size, maximum)
		processor.add(size, spent*1e6)
		memory.add(size, (heapBytes()-heap)/float64(size)/1024)
		runtime.KeepAlive(w)
	}
	printTable("VMs", []*series{mean, highest, processor, memory})
	return nil
}
