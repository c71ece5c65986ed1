package keeper

import (
	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/team"
)

// configCommand is a log entry of the configuration group. Exactly one of its
// operations is set.
type configCommand struct {
	Change  *team.Change   `cbor:"1,keyasint,omitempty"`
	Acquire *acquireTenure `cbor:"2,keyasint,omitempty"`
	End     *endTenure     `cbor:"3,keyasint,omitempty"`

	Routes       *routes.Document `cbor:"4,keyasint,omitempty"` // unpacked; written by earlier versions only
	RetireVM     string           `cbor:"5,keyasint,omitempty"` // VM to retire
	PackedRoutes routes.Packed    `cbor:"6,keyasint,omitempty"`
}

// command is a log entry of a job group: the time of the proposal and exactly
// one operation.
type command struct {
	At          instant.Micros  `cbor:"1,keyasint"`
	Create      *job.Spec       `cbor:"2,keyasint,omitempty"`
	AddPart     *addPart        `cbor:"3,keyasint,omitempty"`
	Seal        *sealJob        `cbor:"4,keyasint,omitempty"`
	Cancel      job.ID          `cbor:"5,keyasint,omitempty"`
	OpenSession *openSession    `cbor:"6,keyasint,omitempty"`
	EndSessions []job.SessionID `cbor:"7,keyasint,omitempty"`
	Lease       *leaseItems     `cbor:"8,keyasint,omitempty"`
	Complete    *completeItems  `cbor:"9,keyasint,omitempty"`
	Expire      bool            `cbor:"10,keyasint,omitempty"`
	Claim       *claim.Request  `cbor:"11,keyasint,omitempty"`
	FinishClaim *claim.Finish   `cbor:"12,keyasint,omitempty"`
	Submit      *job.Submission `cbor:"13,keyasint,omitempty"`
}

type addPart struct {
	Job    job.ID `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
	Count  uint32 `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"` // encoded []job.Item
}

type sealJob struct {
	Job   job.ID `cbor:"1,keyasint"`
	Parts int    `cbor:"2,keyasint"`
}

type openSession struct {
	Session job.SessionID `cbor:"1,keyasint"`
	VM      string        `cbor:"2,keyasint"`
	Started int64         `cbor:"3,keyasint,omitempty"` // start of the gate's process, Unix milliseconds
}

func (o *openSession) run() job.GateRun { return job.GateRun{VM: o.VM, Started: o.Started} }

type leaseItems struct {
	Session job.SessionID     `cbor:"1,keyasint"`
	Request uint64            `cbor:"2,keyasint"`
	Wants   []job.QueueDemand `cbor:"3,keyasint"`
}

type completeItems struct {
	Session job.SessionID `cbor:"1,keyasint"`
	Results []job.Result  `cbor:"2,keyasint"`
}

// result is returned to the proposer of a command.
type result struct {
	Refusal *apierr.Error `cbor:"1,keyasint,omitempty"`
	Status  *job.Status   `cbor:"2,keyasint,omitempty"`
	Leased  []job.Leased  `cbor:"3,keyasint,omitempty"`
	Claim   *claim.Answer `cbor:"4,keyasint,omitempty"`
	Taken   bool          `cbor:"5,keyasint,omitempty"` // the request number of the lease is used and must not be reused
}
