package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/klauspost/compress/gzip"
	"github.com/urfave/cli/v3"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/team"
	"slateway.example/slateway/internal/upstream"
)

func measureReplicas(context.Context, *cli.Command) error {
	fmt.Printf("\n### Records of upstreams in one table\n\n")
	memory := &series{name: "KB of heap"}
	identity := &series{name: "B of all identities"}
	loads := &series{name: "B of all load rows with names"}
	announce := &series{name: "us to take in one load of each"}
	decode := &series{name: "us to decode all load rows"}
	for _, size := range []int{100, 250, 500, 1000, 2000, 5500} {
		heap := heapBytes()
		table := upstream.NewTable(time.Hour)
		now := time.Unix(1_767_600_000, 0)
		for i := range size {
			if _, err := table.Announce(now, replicaRecord(i)); err != nil {
				return err
			}
		}
		memory.add(size, (heapBytes()-heap)/1024)
		all, version := table.Changes(0)
		identity.add(size, float64(len(codec.MustMarshal(all))))
		spent := processorTimeOf(func() error { return applyLoads(table, now, size) })
		announce.add(size, spent.Seconds()*1e6)
		changed, _ := table.Changes(version)
		encoded := codec.MustMarshal(changed)
		loads.add(size, float64(len(encoded)))
		decode.add(size, processorTimeOf(func() error {
			var digest upstream.Digest
			return codec.Unmarshal(encoded, &digest)
		}).Seconds()*1e6)
		runtime.KeepAlive(table)
	}
	printTable("replicas", []*series{memory, identity, loads, announce, decode})
	return nil
}

func replicaRecord(i int) upstream.Announcement {
	return upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: upstream.ReplicaID(fmt.Sprintf("wordroom-place-a-%05d", i)),
		Incarnation: 1_767_600_000_000, Sequence: 1, Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1), Place: "place-a",
		VM: fmt.Sprintf("engine-vm-%05d", i), Models: []upstream.Model{{Name: "wordroom-70b", Version: "2026-01"}},
		Load: upstream.Load{Slots: 32, Running: 11, Ready: true}, CanResume: true, CanCancel: true,
	}
}

func applyLoads(table *upstream.Table, now time.Time, size int) error {
	for i := range size {
		a := replicaRecord(i)
		digest := upstream.LoadDigest{Replica: a.Replica, Incarnation: a.Incarnation, Sequence: 2, Load: a.Load}
		digest.Load.Running = i % 32
		if _, err := table.ApplyLoad(now, digest); err != nil {
			return err
		}
	}
	return nil
}

func processorTimeOf(fn func() error) time.Duration {
	before := processorTime()
	if err := fn(); err != nil {
		panic(err) // the records are generated here and are valid
	}
	return processorTime() - before
}

const templateText = `
[[parameters]]
name = "model"
type = "string"
default = "wordroom-70b"

[[parameters]]
name = "rate"
type = "integer"
default = "10"

[[models]]
name = "${model}"
service = "wordroom"
version = "2026-01"

[online]
requests_per_second = "${rate}"
`

func measureTeams(context.Context, *cli.Command) error {
	fmt.Printf("\n### Configuration\n\n")
	full := &series{name: "KB of a full copy"}
	packed := &series{name: "KB compressed"}
	gate := &series{name: "KB of heap at a gate"}
	keeper := &series{name: "KB of heap at a keeper"}
	apply := &series{name: "ms to take in a full copy"}
	for _, size := range []int{100, 500, 1000, 2000, 4200} {
		heap := heapBytes()
		registry, err := newRegistry(size)
		if err != nil {
			return err
		}
		keeper.add(size, (heapBytes()-heap)/1024)
		encoded := codec.MustMarshal(registry.FullUpdate())
		full.add(size, float64(len(encoded))/1024)
		packed.add(size, float64(compressedSize(encoded))/1024)
		heap = heapBytes()
		view := team.NewView()
		spent := processorTimeOf(func() error {
			var update team.Update
			if err := codec.Unmarshal(encoded, &update); err != nil {
				return err
			}
			view.Apply(update)
			return nil
		})
		gate.add(size, (heapBytes()-heap)/1024)
		apply.add(size, spent.Seconds()*1e3)
		runtime.KeepAlive(view)
		runtime.KeepAlive(registry)
	}
	printTable("teams", []*series{full, packed, gate, keeper, apply})
	return nil
}

func newRegistry(teams int) (*team.Registry, error) {
	template, err := team.ParseTemplate("standard", []byte(templateText))
	if err != nil {
		return nil, err
	}
	registry := team.NewRegistry()
	if outcome := registry.Apply(team.Change{ID: "template", Operator: "op", PutTemplate: &template}); outcome.Refusal != nil {
		return nil, outcome.Refusal
	}
	for i := range teams {
		name := fmt.Sprintf("council-%05d", i)
		change := team.Change{ID: fmt.Sprintf("create-%s", name), Operator: "op", PutTeam: &team.Team{
			Name: name, Template: "standard", Tokens: []team.TokenHash{team.HashToken("token of " + name)},
			Values: []team.Value{{Name: "rate", Value: fmt.Sprint(i % 50)}},
		}}
		if outcome := registry.Apply(change); outcome.Refusal != nil {
			return nil, outcome.Refusal
		}
	}
	return registry, nil
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ size int }

func (c *countingWriter) Write(data []byte) (int, error) {
	c.size += len(data)
	return len(data), nil
}

func compressedSize(data []byte) int {
	counter := &countingWriter{}
	writer := gzip.NewWriter(counter)
	if _, err := writer.Write(data); err != nil {
		panic(err) // countingWriter never fails
	}
	if err := writer.Close(); err != nil {
		panic(err)
	}
	return counter.size
}
