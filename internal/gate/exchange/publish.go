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

// Bounds of the replicas of a place that other places hear of. Each takes some
// 280 bytes when the list changes and 8 each second.
const (
	maxSumReplicas   = 12
	maxSumPerService = 4
)

// publish spreads what changed. An urgent change does not wait for the next
// turn of the load.
func (e *Exchange) publish(urgent bool) {
	known, _ := e.router.Digest(nil)
	own := e.own(known)
	e.publishIdentity(own)
	e.publishLoad(own, known, urgent)
	e.publishStrikes(known)
	e.publishSum(known)
}

// own keeps of each digest the replicas that announce to this gate; the others
// are spread by the gates that they announce to.
func (e *Exchange) own(known []upstream.Digest) []upstream.Digest {
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

// publishIdentity spreads the replicas when one of them came, went or changed
// in more than its load.
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

// publishLoad spreads the load of the own replicas and the batch that this gate
// runs. The sequence of announcements rises even when the load stays, so the
// digest also keeps the replicas from timing out at the other gates.
func (e *Exchange) publishLoad(own, known []upstream.Digest, urgent bool) {
	e.mu.Lock()
	loads := encodeRows(e.published.listHash, own, known)
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

func (e *Exchange) publishStrikes(known []upstream.Digest) {
	var strikes []upstream.Digest
	for _, digest := range known {
		if len(digest.Strikes) > 0 {
			strikes = append(strikes, upstream.Digest{Service: digest.Service, Strikes: digest.Strikes})
		}
	}
	data := codec.MustMarshal(strikes)
	e.mu.Lock()
	same := bytes.Equal(data, e.published.strikes)
	e.published.strikes = data
	e.mu.Unlock()
	if same {
		return
	}
	e.setDigest(fleet.KindPoison, data)
	e.options.Fleet.SetSum(fleet.KindPoison, data)
}

// publishSum gives the other places of the region some replicas of this one and,
// each second, their loads.
func (e *Exchange) publishSum(known []upstream.Digest) {
	e.mu.Lock()
	if time.Since(e.published.sumAt) < loadInterval {
		e.mu.Unlock()
		return
	}
	e.published.sumAt = time.Now()
	list := e.placeSum(known)
	signature := codec.MustMarshal(withoutLoad(list))
	changed := !bytes.Equal(signature, e.published.sumIdentity)
	data := codec.MustMarshal(list)
	if changed {
		e.published.sumIdentity = signature
		e.published.sumHash = xxhash.Sum64(data)
	}
	rows := encodeRows(e.published.sumHash, list, nil)
	e.mu.Unlock()
	if changed {
		e.options.Fleet.SetSum(fleet.KindUpstreams, data)
	}
	e.options.Fleet.SetSum(fleet.KindLoad, rows)
}

// placeSum selects the replicas of the own place that other places may send to.
// Those selected before stay while they are there, also when they get busy or
// leave: their rows tell so, and a list that followed the load would be sent
// anew each second. Free ones are added in order of their room. The caller
// holds e.mu.
func (e *Exchange) placeSum(known []upstream.Digest) []upstream.Digest {
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
			return cmp.Compare(rank(selected(&a)), rank(selected(&b)))
		}
		return cmp.Compare(a.Running+a.Queued-a.Slots, b.Running+b.Queued-b.Slots)
	})
	all = boundSum(all, selected)
	slices.SortFunc(all, func(a, b upstream.Announcement) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Replica, b.Replica))
	})
	e.published.sumReplicas = nil
	for i := range all {
		e.published.sumReplicas = append(e.published.sumReplicas, replicaKey{all[i].Service, all[i].Replica})
	}
	return byService(all)
}

func rank(selected bool) int {
	if selected {
		return 0
	}
	return 1
}

// boundSum keeps the first usable replicas of each service, and those selected
// before that are usable no more, so that the other places learn it.
func boundSum(all []upstream.Announcement, selected func(*upstream.Announcement) bool) []upstream.Announcement {
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
		e.options.Log.Warn("digest not spread", zap.Uint8("kind", uint8(kind)), zap.Error(err))
	}
}
