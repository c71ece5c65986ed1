package design

import (
	. "goa.design/goa/v3/dsl"
)

// JobStatus is a team's view of a batch job.
var JobStatus = Type("JobStatus", func() {
	Attribute("id", String, "Job ID")
	Attribute("job_key", String, "The caller's own key")
	Attribute("service", String, "Model or service that runs the items")
	Attribute("state", String, "open, sealed, done or cancelled")
	Attribute("deadline", String, "When the job is due, RFC 3339", func() { Format(FormatDateTime) })
	Attribute("items", Int64, "Items accepted")
	Attribute("done", Int64, "Items with a result")
	Attribute("failed", Int64, "Items that ended without a result")
	Attribute("cancelled", Int64, "Items ended by cancelling the job")
	Attribute("parts", Int, "Parts accepted")
	Attribute("non_idempotent", Boolean, "Whether each item runs at most once")
	Attribute("finished_at", String, "When the last item ended, RFC 3339; empty before that")
	Attribute("results_until", String, "When the results expire, RFC 3339; empty until the job has ended")
	Required("id", "job_key", "service", "state", "deadline", "items", "done", "failed", "cancelled", "parts", "non_idempotent")
})

// jobRef defines the payload attributes of calls that refer to one job.
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
		Description("Create a job, or return the existing one with the same key.")
		Payload(func() {
			APIKey("team_token", "token", String)
			Attribute("job_key", String, "The caller's own key; a repeated request with this key returns the same job", func() {
				MinLength(1)
				MaxLength(200)
			})
			Attribute("service", String, "Model or service; empty means the team's own", func() { MaxLength(200) })
			Attribute("deadline", String, "When the job is due, RFC 3339; empty means the team's default")
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
		Description("Add a part: NDJSON lines of {custom_id, url, body}. A part is accepted or rejected as a whole.")
		Payload(func() {
			jobRef()
			Attribute("part", Int, "Part number, counted from 0; a part that is sent repeatedly is accepted once", func() {
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
		Description("Seal the job: set its number of parts and accept no further ones.")
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
		Description("Read results in item order as NDJSON. The Next-From header is the first item that is not in the answer.")
		Payload(func() {
			jobRef()
			Attribute("from", Int64, "First item to return", func() {
				Minimum(0)
				Default(0)
			})
			Attribute("limit", Int, "Maximum number of items to return", func() {
				Minimum(1)
				Maximum(10000)
				Default(1000)
			})
		})
		Result(func() {
			Attribute("next", Int64, "Resume from this item")
			Attribute("complete", Boolean, "Whether the job has ended and the answer includes its last result")
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
