package design

import (
	. "goa.design/goa/v3/dsl"
)

// change defines the attributes of every configuration change.
var change = func() {
	Attribute("base_revision", UInt64, "Revision at which the object last changed; 0 to create it")
	Attribute("change_id", String, "The operator's own ID; a repeated request with this ID returns the first answer", func() {
		MinLength(1)
		MaxLength(200)
	})
	Attribute("operator", String, func() { MaxLength(200) })
	Required("base_revision", "change_id")
}

// ChangeResult is the answer to an accepted change.
var ChangeResult = Type("ChangeResult", func() {
	Attribute("revision", UInt64, "Configuration revision that includes this change")
	Attribute("change_id", String)
	Required("revision", "change_id")
})

// Template is a stored configuration template.
var Template = Type("Template", func() {
	Attribute("name", String)
	Attribute("source", String, "TOML text")
	Attribute("revision", UInt64, "Revision of its last change")
	Required("name", "source", "revision")
})

// Team is an operator's view of a team. Tokens are never returned.
var Team = Type("Team", func() {
	Attribute("name", String)
	Attribute("template", String)
	Attribute("parameters", MapOf(String, String))
	Attribute("revision", UInt64, "Revision of its last change")
	Required("name", "template", "parameters", "revision")
})

// GroupStatus is a keeper's view of one replicated log.
var GroupStatus = Type("GroupStatus", func() {
	Attribute("group", UInt32)
	Attribute("leader", String, "VM of the leader; empty if there is none")
	Attribute("voters", ArrayOf(String))
	Attribute("learners", ArrayOf(String))
	Attribute("commit", UInt64, "Index of the last committed entry")
	Attribute("tolerance", Int, "Number of further member losses that the group survives now")
	Required("group", "leader", "voters", "learners", "commit", "tolerance")
})

// Member is a VM of the fleet.
var Member = Type("Member", func() {
	Attribute("vm", String)
	Attribute("place", String)
	Attribute("region", String)
	Attribute("roles", ArrayOf(String))
	Attribute("callers", String, "Address for callers, IP and port")
	Attribute("peers", String, "Address for traffic between slateway's own processes, IP and port")
	Attribute("state", String, "alive, suspect, draining, left or lost")
	Attribute("incarnation", UInt64)
	Attribute("groups", ArrayOf(GroupStatus))
	Required("vm", "place", "region", "roles", "peers", "state", "incarnation")
})

var _ = Service("config", func() {
	Description("Templates, teams and configuration changes, for operators.")
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
			Attribute("tokens", ArrayOf(String), "Bearer tokens; empty keeps the stored ones", func() { MaxLength(16) })
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
			Attribute("in_force", Boolean, "Whether every live gate serves with this change")
			Attribute("waiting_for", ArrayOf(String), "VMs of the gates that do not serve with it yet")
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
		Description("Replace a keeper that lost its disk by the new, empty keeper that runs on the same VM.")
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
