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

// Announcement is what an upstream says of itself, about once a second.
var Announcement = Type("Announcement", func() {
	Attribute("service", String, "Model or service name", func() {
		MinLength(1)
		MaxLength(200)
	})
	Attribute("kind", String, func() { Enum("engine", "service") })
	Attribute("replica", String, "Replica ID, stable over restarts", func() {
		MinLength(1)
		MaxLength(200)
	})
	Attribute("incarnation", UInt64, "Grows with each start of the replica")
	Attribute("sequence", UInt64, "Grows with each announcement of an incarnation")
	Attribute("address", String, "Where it serves, IP and port")
	Attribute("place", String)
	Attribute("vm", String)
	Attribute("models", ArrayOf(Model), func() { MaxLength(256) })
	Attribute("slots", Int, "Requests it runs at once", func() { Minimum(0) })
	Attribute("running", Int, func() { Minimum(0) })
	Attribute("queued", Int, func() { Minimum(0) })
	Attribute("ready", Boolean)
	Attribute("leaving", Boolean, "Sticky for the incarnation")
	Attribute("checks_fencing", Boolean)
	Attribute("can_resume", Boolean)
	Attribute("can_cancel", Boolean)
	Attribute("kv_export", Boolean)
	Required("service", "kind", "replica", "incarnation", "sequence", "address", "place")
})

// UpstreamStatus is a replica as a gate sees it.
var UpstreamStatus = Type("UpstreamStatus", func() {
	Extend(Announcement)
	Attribute("state", String, "ready, suspect, probing, leaving or gone")
	Attribute("in_flight", Int, "Requests of this gate that run there")
	Required("state", "in_flight")
})

// CacheEvent tells that an engine cached or evicted a prompt prefix.
var CacheEvent = Type("CacheEvent", func() {
	Attribute("sequence", UInt64, "Consecutive; a gap voids what was believed of the replica's cache")
	Attribute("prefix", UInt64, "Hash of the prefix")
	Attribute("cached", Boolean, "False when it was evicted")
	Required("sequence", "prefix", "cached")
})

var _ = Service("upstreams", func() {
	Description("Announcements of upstreams.")
	HTTP(func() {
		Path("/v1/upstreams")
	})

	Method("announce", func() {
		Payload(Announcement)
		Result(func() {
			Attribute("interval_ms", Int64, "When to announce again, in milliseconds")
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
	Description("Where callers connect.")
	HTTP(func() {
		Path("/v1/entries")
	})

	Method("get", func() {
		Description("Gate addresses in the order to try them.")
		Payload(func() {
			Attribute("place", String, "The caller's own place, if it knows it")
		})
		Result(func() {
			Attribute("entries", ArrayOf(Entry))
			Attribute("lifetime_ms", Int64, "How long to keep this answer, in milliseconds")
			Attribute("revision", UInt64, "Grows when the answer changes")
			Required("entries", "lifetime_ms", "revision")
		})
		HTTP(func() {
			GET("")
			Param("place")
		})
	})
})

// Entry is one gate's address.
var Entry = Type("Entry", func() {
	Attribute("address", String, "IP and port for callers")
	Attribute("vm", String)
	Attribute("place", String)
	Required("address", "vm", "place")
})
