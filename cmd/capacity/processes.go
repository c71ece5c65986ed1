package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/test/harness"
)

// Layout of the measured fleets: as many places as the present sites have, and as
// many replicas as fit on one machine next to the daemons.
const (
	keepersMeasured     = 3
	placesMeasured      = 3
	replicasMeasured    = 12
	processStartTimeout = 2 * time.Minute
	processWarmUp       = 15 * time.Second
	processWindow       = 30 * time.Second
)

// roleSeries holds the measured quantities of one role.
type roleSeries struct{ udp, tcp, processor, memory series }

func newRoleSeries(role string) *roleSeries {
	return &roleSeries{
		udp:       series{name: role + " UDP B/s in+out"},
		tcp:       series{name: role + " TCP B/s in+out"},
		processor: series{name: role + " % of a core"},
		memory:    series{name: role + " MB resident"},
	}
}

// add records the mean cost over the VMs of the role.
func (r *roleSeries) add(gates int, spent []vmCost) {
	var udp, tcp, processor, memory []float64
	for _, c := range spent {
		udp = append(udp, c.udp)
		tcp = append(tcp, c.tcp)
		processor = append(processor, c.processor)
		memory = append(memory, c.memory)
	}
	r.udp.add(gates, mean(udp))
	r.tcp.add(gates, mean(tcp))
	r.processor.add(gates, mean(processor))
	r.memory.add(gates, mean(memory))
}

func (r *roleSeries) columns() []*series {
	return []*series{&r.udp, &r.tcp, &r.processor, &r.memory}
}

// measureProcesses runs whole fleets without callers, so that all measured cost is
// control traffic.
func measureProcesses(ctx context.Context, command *cli.Command) error {
	folder, err := os.MkdirTemp("", "slateway-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
	programs, err := harness.Build(folder, false)
	if err != nil {
		return err
	}
	fmt.Printf("\n### Daemons on loopback: %d keepers, %d places, %d engines, no callers\n\n", keepersMeasured, placesMeasured, replicasMeasured)
	gates, keepers := newRoleSeries("gate"), newRoleSeries("keeper")
	for _, size := range command.IntSlice("gates") {
		gateCosts, keeperCosts, err := measureProcessFleet(ctx, folder, programs, size, command.String("settings"))
		if err != nil {
			return err
		}
		gates.add(size, gateCosts)
		keepers.add(size, keeperCosts)
	}
	printTable("gates", append(gates.columns(), keepers.columns()...))
	return nil
}

func measureProcessFleet(ctx context.Context, parent string, programs harness.Programs, gates int, settings string) (gateCosts, keeperCosts []vmCost, err error) {
	folder, err := os.MkdirTemp(parent, "fleet-")
	if err != nil {
		return nil, nil, err
	}
	fleet, err := harness.New(folder, programs, harness.Options{VMs: layout(gates), Settings: settings})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	if err := startFleet(ctx, fleet); err != nil {
		return nil, nil, err
	}
	time.Sleep(processWarmUp)
	before, err := takeSnapshots(ctx, fleet)
	if err != nil {
		return nil, nil, err
	}
	time.Sleep(processWindow)
	after, err := takeSnapshots(ctx, fleet)
	if err != nil {
		return nil, nil, err
	}
	for i, vm := range fleet.VMs {
		cost := after[i].costSince(before[i])
		if vm.Keeper {
			keeperCosts = append(keeperCosts, cost)
		} else {
			gateCosts = append(gateCosts, cost)
		}
	}
	return gateCosts, keeperCosts, nil
}

func layout(gates int) []harness.VMOptions {
	var vms []harness.VMOptions
	for i := range gates + keepersMeasured {
		place := harness.Place{Name: fmt.Sprintf("place-%d", i%placesMeasured), Region: "region"}
		vms = append(vms, harness.VMOptions{Place: place, Gate: i >= keepersMeasured, Keeper: i < keepersMeasured})
	}
	return vms
}

func startFleet(ctx context.Context, fleet *harness.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, processStartTimeout)
	defer cancel()
	if err := fleet.Start(); err != nil {
		return err
	}
	for i := range replicasMeasured {
		place := harness.Place{Name: fmt.Sprintf("place-%d", i%placesMeasured), Region: "region"}
		if _, err := fleet.StartEngine("wordroom", fmt.Sprintf("engine-%d", i), place); err != nil {
			return err
		}
	}
	return fleet.WaitReady(ctx, map[string]int{"wordroom": replicasMeasured})
}

// snapshot holds a VM's counters and its process's resource usage at one time.
type snapshot struct {
	at       time.Time
	counters map[string]int64
	usage    harness.Usage
}

// vmCost is the cost of a VM: bytes per second in and out, % of a core, resident MB.
type vmCost struct{ udp, tcp, processor, memory float64 }

func takeSnapshots(ctx context.Context, fleet *harness.Fleet) ([]snapshot, error) {
	var list []snapshot
	for _, vm := range fleet.VMs {
		counters, err := vm.Counters(ctx)
		if err != nil {
			return nil, err
		}
		usage, err := vm.Usage()
		if err != nil {
			return nil, err
		}
		list = append(list, snapshot{time.Now(), counters, usage})
	}
	return list, nil
}

func (r snapshot) costSince(before snapshot) vmCost {
	seconds := r.at.Sub(before.at).Seconds()
	perSecond := func(name string) float64 { return float64(r.counters[name]-before.counters[name]) / seconds }
	return vmCost{
		udp:       perSecond("member.bytes_in") + perSecond("member.bytes_out"),
		tcp:       perSecond("peers.bytes_in") + perSecond("peers.bytes_out"),
		processor: (r.usage.CPU - before.usage.CPU).Seconds() / seconds * 100,
		memory:    float64(r.usage.Resident) / (1 << 20),
	}
}
