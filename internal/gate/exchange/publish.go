package exchange

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/upstream"
)

// Bounds on the replicas of a place that other places receive. Each replica takes about
// 280 bytes when the list changes and 8 bytes every second.
const (
	maxSumReplicas   = 12
	maxSumPerService = 4
)

// publish spreads what has changed. With urgent set, the load does not wait for
// loadInterval.
func (e *Exchange) publish(urgent bool) {
	known, _ := e.router.Digest(nil)
	own := e.announcedHere(known)
	e.publishIdentity(own)
	e.publishLoad(own, known, urgent)
	e.publishCrashReports(known)
	e.publishSum(known)
}

// announcedHere filters the digests to the replicas that announce to this gate. The others
// are spread by the gates that they announce to.
func (e *Exchange) announcedHere(known []upstream.Digest) []upstream.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for key, at := range e.direct {
		if now.Sub(at) > e.options.DirectLifetime {
			delete(e.direct, key)
		}
	}
	var own []upstream.Digest
	for _, digest := range known {
		var identity []upstream.Announcement
		for _, a := range digest.Identity {
			if _, announced := e.direct[replicaKey{a.Service, a.Replica}]; announced {
				identity = append(identity, a)
			}
		}
		if len(identity) > 0 {
			own = append(own, upstream.Digest{Service: digest.Service, Identity: identity})
		}
	}
	return own
}

// publishIdentity spreads the list of replicas when a replica was added or removed or more
// than its load has changed.
func (e *Exchange) publishIdentity(own []upstream.Digest) {
	signature := codec.MustMarshal(withoutLoad(own))
	e.mu.Lock()
	same := bytes.Equal(signature, e.published.identity)
	if same {
		e.mu.Unlock()
		return
	}
	data := codec.MustMarshal(own)
	e.published.identity = signature
	e.published.listHash = xxhash.Sum64(data)
	e.mu.Unlock()
	e.setDigest(fleet.KindUpstreams, data)
}

func withoutLoad(digests []upstream.Digest) []upstream.Digest {
	stripped := make([]upstream.Digest, len(digests))
	for i, digest := range digests {
		stripped[i].Service = digest.Service
		stripped[i].Identity = slices.Clone(digest.Identity)
		for j := range stripped[i].Identity {
			a := &stripped[i].Identity[j]
			a.Sequence = 0
			a.Load = upstream.Load{Slots: a.Slots, Leaving: a.Leaving}
		}
	}
	return stripped
}

// publishLoad spreads the load of the own replicas and the batch work of this gate. The
// announcements' sequence numbers increase even if the load does not change, so the digest
// also keeps the replicas from expiring at the other gates.
func (e *Exchange) publishLoad(own, known []upstream.Digest, urgent bool) {
	e.mu.Lock()
	loads := encodeLoads(e.published.listHash, own, known)
	due := urgent || time.Since(e.published.loadAt) >= loadInterval
	if !due || bytes.Equal(loads, e.published.load) {
		e.mu.Unlock()
		return
	}
	e.published.load = loads
	e.published.loadAt = time.Now()
	e.mu.Unlock()
	e.setDigest(fleet.KindLoad, loads)
}

func (e *Exchange) publishCrashReports(known []upstream.Digest) {
	var reports []upstream.Digest
	for _, digest := range known {
		if len(digest.Crashes) > 0 {
			reports = append(reports, upstream.Digest{Service: digest.Service, Crashes: digest.Crashes})
		}
	}
	data := codec.MustMarshal(reports)
	e.mu.Lock()
	same := bytes.Equal(data, e.published.crashReports)
	e.published.crashReports = data
	e.mu.Unlock()
	if same {
		return
	}
	e.setDigest(fleet.KindPoison, data)
	e.options.Fleet.SetSum(fleet.KindPoison, data)
}

// publishSum spreads a selection of this place's replicas to the other places of the region
// and, every second, their loads.
func (e *Exchange) publishSum(known []upstream.Digest) {
	e.mu.Lock()
	if time.Since(e.published.sumAt) < loadInterval {
		e.mu.Unlock()
		return
	}
	e.published.sumAt = time.Now()
	list := e.selectForOtherPlaces(known)
	signature := codec.MustMarshal(withoutLoad(list))
	changed := !bytes.Equal(signature, e.published.sumIdentity)
	data := codec.MustMarshal(list)
	if changed {
		e.published.sumIdentity = signature
		e.published.sumHash = xxhash.Sum64(data)
	}
	rows := encodeLoads(e.published.sumHash, list, nil)
	e.mu.Unlock()
	if changed {
		e.options.Fleet.SetSum(fleet.KindUpstreams, data)
	}
	e.options.Fleet.SetSum(fleet.KindLoad, rows)
}

// selectForOtherPlaces selects the replicas of the own place that other places may use.
// Selected replicas stay selected while they exist, even if they become busy or leave: their
// load rows show that, and a list that followed the load would be resent every second.
// Others are added in order of free capacity. The caller holds e.mu.
func (e *Exchange) selectForOtherPlaces(known []upstream.Digest) []upstream.Digest {
	var all []upstream.Announcement
	for _, digest := range known {
		for _, a := range digest.Identity {
			if a.Place == e.options.Place {
				all = append(all, a)
			}
		}
	}
	selected := func(a *upstream.Announcement) bool {
		return slices.Contains(e.published.sumReplicas, replicaKey{a.Service, a.Replica})
	}
	slices.SortStableFunc(all, func(a, b upstream.Announcement) int {
		if selected(&a) != selected(&b) {
			return cmp.Compare(sortRank(selected(&a)), sortRank(selected(&b)))
		}
		return cmp.Compare(a.Running+a.Queued-a.Slots, b.Running+b.Queued-b.Slots)
	})
	all = limitSelection(all, selected)
	slices.SortFunc(all, func(a, b upstream.Announcement) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Replica, b.Replica))
	})
	e.published.sumReplicas = nil
	for i := range all {
		e.published.sumReplicas = append(e.published.sumReplicas, replicaKey{all[i].Service, all[i].Replica})
	}
	return byService(all)
}

func sortRank(selected bool) int {
	if selected {
		return 0
	}
	return 1
}

// limitSelection keeps the first usable replicas of each service. It also keeps selected
// replicas that are no longer usable, so that the other places learn of it.
func limitSelection(all []upstream.Announcement, selected func(*upstream.Announcement) bool) []upstream.Announcement {
	var kept []upstream.Announcement
	count := map[string]int{}
	for _, a := range all {
		usable := a.Ready && !a.Leaving
		if len(kept) == maxSumReplicas || count[a.Service] == maxSumPerService || (!usable && !selected(&a)) {
			continue
		}
		if usable {
			count[a.Service]++
		}
		kept = append(kept, a)
	}
	return kept
}

func byService(all []upstream.Announcement) []upstream.Digest {
	var digests []upstream.Digest
	for _, a := range all {
		at := slices.IndexFunc(digests, func(d upstream.Digest) bool { return d.Service == a.Service })
		if at < 0 {
			at = len(digests)
			digests = append(digests, upstream.Digest{Service: a.Service})
		}
		digests[at].Identity = append(digests[at].Identity, a)
	}
	return digests
}

func (e *Exchange) setDigest(kind member.DigestKind, data []byte) {
	if err := e.options.Fleet.SetDigest(kind, data); err != nil {
		e.options.Log.Warn("cannot spread digest to the other gates", zap.Uint8("kind", uint8(kind)), zap.Error(err))
	}
}
