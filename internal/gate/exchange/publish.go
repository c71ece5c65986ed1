package exchange

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/upstream"
)

// maxSumReplicas bounds the replicas of a place that other places hear of; the
// encoded sum stays below the bound of one digest.
const maxSumReplicas = 40

// publish spreads what changed. An urgent change does not wait for the next
// turn of the load.
func (e *Exchange) publish(urgent bool) {
	known, _ := e.router.Digest(nil)
	own := e.own(known)
	e.publishIdentity(own)
	e.publishLoad(own, known, urgent)
	e.publishStrikes(known)
	e.options.Fleet.SetSum(fleet.KindUpstreams, codec.MustMarshal(e.placeSum(known)))
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
	e.published.identity = signature
	e.mu.Unlock()
	if !same {
		e.setDigest(fleet.KindUpstreams, codec.MustMarshal(own))
	}
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
	loads := codec.MustMarshal(loadsOf(own, known))
	e.mu.Lock()
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

func loadsOf(own, known []upstream.Digest) []upstream.Digest {
	var loads []upstream.Digest
	for _, digest := range own {
		load := upstream.Digest{Service: digest.Service}
		for _, a := range digest.Identity {
			load.Loads = append(load.Loads, upstream.LoadDigest{
				Replica: a.Replica, Incarnation: a.Incarnation, Sequence: a.Sequence, Load: a.Load,
			})
		}
		loads = append(loads, load)
	}
	for _, digest := range known {
		if len(digest.Feeding) > 0 {
			loads = append(loads, upstream.Digest{Service: digest.Service, Feeding: digest.Feeding})
		}
	}
	return loads
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

// placeSum selects the replicas of the own place that other places may send to:
// those with the most room, and all that are leaving, so that nobody goes on
// sending to them.
func (e *Exchange) placeSum(known []upstream.Digest) []upstream.Digest {
	var all []upstream.Announcement
	for _, digest := range known {
		for _, a := range digest.Identity {
			if a.Place == e.options.Place {
				all = append(all, a)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b upstream.Announcement) int {
		return cmp.Compare(sumRank(&a), sumRank(&b))
	})
	return byService(all[:min(maxSumReplicas, len(all))])
}

func sumRank(a *upstream.Announcement) int {
	if a.Leaving {
		return -a.Slots
	}
	return a.Running + a.Queued - a.Slots
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
