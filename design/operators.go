package design

import (
	. "goa.design/goa/v3/dsl"
)

// change holds the attributes of every configuration change.
var change = func() {
	Attribute("base_revision", UInt64, "Revision at which the object last changed; 0 to create it")
	Attribute("change_id", String, "The operator's own ID; a resend with it gets the first answer", func() {
		MinLength(1)
		MaxLength(200)
	})
	Attribute("operator", String, func() { MaxLength(200) })
	Required("base_revision", "change_id")
}

// ChangeResult answers an accepted change.
var ChangeResult = Type("ChangeResult", func() {
	Attribute("revision", UInt64, "The configuration's revision with this change")
	Attribute("change_id", String)
	Required("revision", "change_id")
})

// Template is a stored template.
var Template = Type("Template", func() {
	Attribute("name", String)
	Attribute("source", String, "TOML text")
	Attribute("revision", UInt64, "When it last changed")
	Required("name", "source", "revision")
})

// Team is a team as operators see it; its tokens are never shown.
var Team = Type("Team", func() {
	Attribute("name", String)
	Attribute("template", String)
	Attribute("parameters", MapOf(String, String))
	Attribute("revision", UInt64, "When it last changed")
	Required("name", "template", "parameters", "revision")
})

// GroupStatus is one replicated log as its keeper sees it.
var GroupStatus = Type("GroupStatus", func() {
	Attribute("group", UInt32)
	Attribute("leader", String, "VM of the leader; empty when there is none")
	Attribute("voters", ArrayOf(String))
	Attribute("learners", ArrayOf(String))
	Attribute("commit", UInt64, "Index of the last committed entry")
	Attribute("tolerance", Int, "Further losses that the group survives now")
	Required("group", "leader", "voters", "learners", "commit", "tolerance")
})

// Member is a VM of the fleet.
var Member = Type("Member", func() {
	Attribute("vm", String)
	Attribute("place", String)
	Attribute("region", String)
	Attribute("roles", ArrayOf(String))
	Attribute("callers", String, "Address for callers, IP and port")
	Attribute("peers", String, "Address for the system's own processes, IP and port")
	Attribute("state", String, "alive, suspect, draining, left or lost")
	Attribute("incarnation", UInt64)
	Attribute("groups", ArrayOf(GroupStatus))
	Required("vm", "place", "region", "roles", "peers", "state", "incarnation")
})

var _ = Service("config", func() {
	Description("Templates, teams and changes, for operators.")
	HTTP(func() {
		Path("/v1")
	})

	Method("put_template", func() {
		Payload(func() {
			change()
			Attribute("name", String)
			Attribute("source", String, "TOML text")
			Required("name", "source")
		})
		Result(ChangeResult)
		HTTP(func() { PUT("/templates/{name}") })
	})

	Method("list_templates", func() {
		Result(ArrayOf(Template))
		HTTP(func() { GET("/templates") })
	})

	Method("show_template", func() {
		Payload(func() {
			Attribute("name", String)
			Required("name")
		})
		Result(Template)
		HTTP(func() { GET("/templates/{name}") })
	})

	Method("put_team", func() {
		Payload(func() {
			change()
			Attribute("name", String)
			Attribute("template", String)
			Attribute("parameters", MapOf(String, String))
			Attribute("tokens", ArrayOf(String), "Bearer tokens; the stored ones are kept when empty", func() { MaxLength(16) })
			Required("name", "template")
		})
		Result(ChangeResult)
		HTTP(func() { PUT("/teams/{name}") })
	})

	Method("delete_team", func() {
		Payload(func() {
			change()
			Attribute("name", String)
			Required("name")
		})
		Result(ChangeResult)
		HTTP(func() {
			DELETE("/teams/{name}")
			Param("base_revision")
			Param("change_id")
			Param("operator")
		})
	})

	Method("list_teams", func() {
		Result(ArrayOf(Team))
		HTTP(func() { GET("/teams") })
	})

	Method("show_team", func() {
		Payload(func() {
			Attribute("name", String)
			Required("name")
		})
		Result(Team)
		HTTP(func() { GET("/teams/{name}") })
	})

	Method("change_status", func() {
		Payload(func() {
			Attribute("revision", UInt64)
			Required("revision")
		})
		Result(func() {
			Attribute("revision", UInt64)
			Attribute("in_force", Boolean, "Whether every live gate serves under it")
			Attribute("waiting_for", ArrayOf(String), "VMs of gates that do not yet")
			Required("revision", "in_force", "waiting_for")
		})
		HTTP(func() { GET("/changes/{revision}") })
	})
})

var _ = Service("members", func() {
	Description("VMs of the fleet, for operators.")
	HTTP(func() {
		Path("/v1/members")
	})

	Method("list", func() {
		Result(ArrayOf(Member))
		HTTP(func() { GET("") })
	})

	Method("replace", func() {
		Description("Replace a keeper whose disk was lost by the blank one that now runs on its VM.")
		Payload(func() {
			Attribute("vm", String)
			Required("vm")
		})
		HTTP(func() {
			POST("/{vm}/replace")
			Response(StatusAccepted)
		})
	})
})
