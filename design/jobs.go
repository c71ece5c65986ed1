package design

import (
	. "goa.design/goa/v3/dsl"
)

// JobStatus is one batch job as its team sees it.
var JobStatus = Type("JobStatus", func() {
	Attribute("id", String, "Job ID")
	Attribute("job_key", String, "The caller's own key")
	Attribute("service", String, "Model or service that runs the items")
	Attribute("state", String, "open, sealed, done or cancelled")
	Attribute("deadline", String, "When the job is due, RFC 3339", func() { Format(FormatDateTime) })
	Attribute("items", Int64, "Items accepted")
	Attribute("done", Int64, "Items with a result")
	Attribute("failed", Int64, "Items that ended without one")
	Attribute("cancelled", Int64, "Items that the cancel ended")
	Attribute("parts", Int, "Parts accepted")
	Attribute("non_idempotent", Boolean, "Whether items run at most once")
	Attribute("finished_at", String, "When the last item ended, RFC 3339; empty until then")
	Attribute("results_until", String, "Until when the results stay readable, RFC 3339; empty until then")
	Required("id", "job_key", "service", "state", "deadline", "items", "done", "failed", "cancelled", "parts", "non_idempotent")
})

// jobRef is the payload of calls that concern one job.
var jobRef = func() {
	APIKey("team_token", "token", String)
	Attribute("id", String, "Job ID")
	Required("id")
}

var _ = Service("jobs", func() {
	Description("Batch jobs of a team.")
	Security(TeamToken)
	HTTP(func() {
		Path("/v1/jobs")
		Header("token:Authorization")
	})

	Method("create", func() {
		Description("Create a job, or find the one with the same key.")
		Payload(func() {
			APIKey("team_token", "token", String)
			Attribute("job_key", String, "The caller's own key; a resend with it finds the same job", func() {
				MinLength(1)
				MaxLength(200)
			})
			Attribute("service", String, "Model or service; the team's own when empty", func() { MaxLength(200) })
			Attribute("deadline", String, "When the job is due, RFC 3339; the team's default when empty")
			Attribute("non_idempotent", Boolean, "Run each item at most once")
			Required("job_key")
		})
		Result(JobStatus)
		HTTP(func() { POST("") })
	})

	Method("list", func() {
		Description("List the team's jobs.")
		Payload(func() {
			APIKey("team_token", "token", String)
		})
		Result(ArrayOf(JobStatus))
		HTTP(func() { GET("") })
	})

	Method("add_part", func() {
		Description("Add a part: NDJSON lines of {custom_id, url, body}. The whole part is accepted or none of it.")
		Payload(func() {
			jobRef()
			Attribute("part", Int, "Part number from 0; a resend with it is accepted once", func() {
				Minimum(0)
				Maximum(100000)
			})
			Required("part")
		})
		Result(func() {
			Attribute("items", Int, "Items in this part")
			Required("items")
		})
		HTTP(func() {
			PUT("/{id}/parts/{part}")
			SkipRequestBodyEncodeDecode()
		})
	})

	Method("seal", func() {
		Description("Seal the job: it has so many parts and no more.")
		Payload(func() {
			jobRef()
			Attribute("parts", Int, "Number of parts sent", func() { Minimum(0) })
			Required("parts")
		})
		Result(JobStatus)
		HTTP(func() { POST("/{id}/seal") })
	})

	Method("status", func() {
		Payload(jobRef)
		Result(JobStatus)
		HTTP(func() { GET("/{id}") })
	})

	Method("cancel", func() {
		Payload(jobRef)
		Result(JobStatus)
		HTTP(func() { POST("/{id}/cancel") })
	})

	Method("results", func() {
		Description("Read results in item order as NDJSON. Next-From names the first item that is not yet in the answer.")
		Payload(func() {
			jobRef()
			Attribute("from", Int64, "First item", func() {
				Minimum(0)
				Default(0)
			})
			Attribute("limit", Int, "Most items to return", func() {
				Minimum(1)
				Maximum(10000)
				Default(1000)
			})
		})
		Result(func() {
			Attribute("next", Int64, "Resume from this item")
			Attribute("complete", Boolean, "Whether the answer reaches the end of an ended job")
			Required("next", "complete")
		})
		HTTP(func() {
			GET("/{id}/results")
			Param("from")
			Param("limit")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("next:Next-From")
				Header("complete:Results-Complete")
				ContentType("application/x-ndjson")
			})
		})
	})
})
