package settings

import (
	"fmt"
	"time"
)

// durationKeys lists the keys whose values need a unit.
var durationKeys = func() []string {
	var keys []string
	for _, entry := range (&Settings{}).durations() {
		keys = append(keys, entry.key)
	}
	return keys
}()

type durationEntry struct {
	key   string
	value time.Duration
}

func (s *Settings) durations() []durationEntry {
	return []durationEntry{
		{"member.heartbeat", s.Member.Heartbeat},
		{"member.suspect_after", s.Member.SuspectAfter},
		{"member.lost_after", s.Member.LostAfter},
		{"quorum.heartbeat", s.Quorum.Heartbeat},
		{"quorum.election", s.Quorum.Election},
		{"config.lease", s.Config.Lease},
		{"directory.answer_lifetime", s.Directory.AnswerLifetime},
		{"upstream.expire_after", s.Upstream.ExpireAfter},
		{"batch.lease", s.Batch.Lease},
		{"batch.result_flush", s.Batch.ResultFlush},
		{"batch.retention", s.Batch.Retention},
		{"limits.team_window", s.Limits.TeamWindow},
		{"timeouts.dial", s.Timeouts.Dial},
		{"timeouts.request", s.Timeouts.Request},
		{"timeouts.stream_idle", s.Timeouts.StreamIdle},
		{"timeouts.drain", s.Timeouts.Drain},
		{"timeouts.body", s.Timeouts.Body},
		{"timeouts.unread", s.Timeouts.Unread},
		{"timeouts.write", s.Timeouts.Write},
	}
}

// minDuration is the smallest duration accepted; the daemon's timers are not
// more precise.
const minDuration = time.Millisecond

type countEntry struct {
	key   string
	value int
}

func (s *Settings) counts() []countEntry {
	return []countEntry{
		{"quorum.job_groups", s.Quorum.JobGroups},
		{"quorum.snapshot_entries", s.Quorum.SnapshotEntries},
		{"directory.max_entries", s.Directory.MaxEntries},
		{"batch.lease_items", s.Batch.LeaseItems},
		{"batch.max_attempts", s.Batch.MaxAttempts},
		{"batch.result_group", s.Batch.ResultGroup},
		{"limits.max_body_bytes", s.Limits.MaxBodyBytes},
		{"limits.max_part_bytes", s.Limits.MaxPartBytes},
		{"limits.max_item_bytes", s.Limits.MaxItemBytes},
		{"limits.max_queue", s.Limits.MaxQueue},
		{"limits.max_in_progress", s.Limits.MaxInProgress},
		{"limits.unread_bytes", s.Limits.UnreadBytes},
		{"limits.max_answer_bytes", s.Limits.MaxAnswerBytes},
		{"limits.max_event_bytes", s.Limits.MaxEventBytes},
		{"limits.max_answer_head_bytes", s.Limits.MaxHeadBytes},
	}
}

type floatEntry struct {
	key   string
	value float64
}

func (s *Settings) floats() []floatEntry {
	return []floatEntry{
		{"limits.team_overshoot", s.Limits.TeamOvershoot},
		{"limits.team_slack", s.Limits.TeamSlack},
	}
}

func (s *Settings) checkNumbers(c *checker) {
	for _, entry := range s.durations() {
		if entry.value < minDuration {
			c.add(entry.key, entry.value.String(), "too short", "set it to at least "+minDuration.String())
		}
	}
	for _, entry := range s.floats() {
		if entry.value < 0 {
			c.add(entry.key, fmt.Sprint(entry.value), "must not be negative", "set it to 0 or above")
		}
	}
	for _, entry := range s.counts() {
		if entry.value < 1 {
			c.add(entry.key, fmt.Sprint(entry.value), "must be positive", "set it to at least 1")
		}
	}
}
