package design

import (
	. "goa.design/goa/v3/dsl"
)

// Model is one model version that an upstream has loaded.
var Model = Type("Model", func() {
	Attribute("name", String)
	Attribute("version", String)
	Required("name")
})

// Announcement is an upstream's description of itself, sent about once a second.
var Announcement = Type("Announcement", func() {
	Attribute("service", String, "Model or service name", func() {
		MinLength(1)
		MaxLength(200)
	})
	Attribute("kind", String, func() { Enum("engine", "service") })
	Attribute("replica", String, "Replica ID, stable across restarts", func() {
		MinLength(1)
		MaxLength(200)
	})
	Attribute("incarnation", UInt64, "Increases with each start of the replica")
	Attribute("sequence", UInt64, "Increases with each announcement of an incarnation")
	Attribute("address", String, "Address at which it serves, IP and port")
	Attribute("place", String)
	Attribute("vm", String)
	Attribute("models", ArrayOf(Model), func() { MaxLength(256) })
	Attribute("slots", Int, "Number of requests that it can run concurrently", func() { Minimum(0) })
	Attribute("running", Int, func() { Minimum(0) })
	Attribute("queued", Int, func() { Minimum(0) })
	Attribute("ready", Boolean)
	Attribute("leaving", Boolean, "Whether it is leaving the fleet; stays true for the rest of the incarnation")
	Attribute("checks_fencing", Boolean)
	Attribute("can_resume", Boolean)
	Attribute("can_cancel", Boolean)
	Attribute("kv_export", Boolean)
	Required("service", "kind", "replica", "incarnation", "sequence", "address", "place")
})

// UpstreamStatus is a gate's view of a replica.
var UpstreamStatus = Type("UpstreamStatus", func() {
	Extend(Announcement)
	Attribute("state", String, "ready, suspect, probing, leaving or gone")
	Attribute("in_flight", Int, "Requests of this gate that are running on the replica")
	Required("state", "in_flight")
})

// CacheEvent reports that an engine cached or evicted a prompt prefix.
var CacheEvent = Type("CacheEvent", func() {
	Attribute("sequence", UInt64, "Consecutive; a gap invalidates what the gate recorded of the replica's cache")
	Attribute("prefix", UInt64, "Hash of the prefix")
	Attribute("cached", Boolean, "False if the prefix was evicted")
	Required("sequence", "prefix", "cached")
})

var _ = Service("upstreams", func() {
	Description("Announcements and cache events from upstreams, and the list of replicas.")
	HTTP(func() {
		Path("/v1/upstreams")
	})

	Method("announce", func() {
		Payload(Announcement)
		Result(func() {
			Attribute("interval_ms", Int64, "Time until the next announcement, in milliseconds")
			Required("interval_ms")
		})
		HTTP(func() { POST("/announce") })
	})

	Method("cache_events", func() {
		Payload(func() {
			Attribute("service", String)
			Attribute("replica", String)
			Attribute("incarnation", UInt64)
			Attribute("events", ArrayOf(CacheEvent), func() { MaxLength(10000) })
			Required("service", "replica", "incarnation", "events")
		})
		HTTP(func() {
			POST("/cache-events")
			Response(StatusNoContent)
		})
	})

	Method("list", func() {
		Result(ArrayOf(UpstreamStatus))
		HTTP(func() { GET("") })
	})
})

var _ = Service("entries", func() {
	Description("Directory of the gates that callers connect to.")
	HTTP(func() {
		Path("/v1/entries")
	})

	Method("get", func() {
		Description("Return gate addresses, in the order in which to try them.")
		Payload(func() {
			Attribute("place", String, "The caller's own place, if known")
		})
		Result(func() {
			Attribute("entries", ArrayOf(Entry))
			Attribute("lifetime_ms", Int64, "How long the answer may be cached, in milliseconds")
			Attribute("revision", UInt64, "Increases when the answer changes")
			Required("entries", "lifetime_ms", "revision")
		})
		HTTP(func() {
			GET("")
			Param("place")
		})
	})
})

// Entry is the address of a gate.
var Entry = Type("Entry", func() {
	Attribute("address", String, "IP and port for callers")
	Attribute("vm", String)
	Attribute("place", String)
	Required("address", "vm", "place")
})
