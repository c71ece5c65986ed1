package ctl

import "time"

// Bodies of the HTTP APIs, reduced to the fields that slatectl uses.

type templateBody struct {
	Name     string `json:"name"`
	Source   string `json:"source"`
	Revision uint64 `json:"revision"`
}

type teamBody struct {
	Name       string            `json:"name"`
	Template   string            `json:"template"`
	Parameters map[string]string `json:"parameters"`
	Revision   uint64            `json:"revision"`
}

// changeHeader holds the fields that are common to all changes of the configuration.
type changeHeader struct {
	BaseRevision uint64 `json:"base_revision"`
	ChangeID     string `json:"change_id"`
	Operator     string `json:"operator,omitempty"`
}

type putTemplate struct {
	changeHeader
	Source string `json:"source"`
}

type putTeam struct {
	changeHeader
	Template   string            `json:"template"`
	Parameters map[string]string `json:"parameters"`
	Tokens     []string          `json:"tokens,omitempty"`
}

type changeResult struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
}

type changeStatus struct {
	Revision   uint64   `json:"revision"`
	InForce    bool     `json:"in_force"`
	WaitingFor []string `json:"waiting_for"`
}

type createJob struct {
	JobKey        string `json:"job_key"`
	Service       string `json:"service,omitempty"`
	Deadline      string `json:"deadline,omitempty"`
	NonIdempotent bool   `json:"non_idempotent,omitempty"`
}

type sealJob struct {
	Parts int `json:"parts"`
}

type partResult struct {
	Items int `json:"items"`
}

// States of a job that has ended.
const (
	jobDone      = "done"
	jobCancelled = "cancelled"
)

type jobStatus struct {
	ID            string `json:"id"`
	JobKey        string `json:"job_key"`
	Service       string `json:"service"`
	State         string `json:"state"`
	Deadline      string `json:"deadline"`
	Items         int64  `json:"items"`
	Done          int64  `json:"done"`
	Failed        int64  `json:"failed"`
	Cancelled     int64  `json:"cancelled"`
	Parts         int    `json:"parts"`
	NonIdempotent bool   `json:"non_idempotent"`
	FinishedAt    string `json:"finished_at"`
	ResultsUntil  string `json:"results_until"`
}

func (j *jobStatus) ended() bool { return j.State == jobDone || j.State == jobCancelled }

type upstreamStatus struct {
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Replica  string `json:"replica"`
	Address  string `json:"address"`
	Place    string `json:"place"`
	VM       string `json:"vm"`
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	InFlight int    `json:"in_flight"`
	Models   []struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	} `json:"models"`
}

type memberStatus struct {
	VM          string        `json:"vm"`
	Place       string        `json:"place"`
	Region      string        `json:"region"`
	Roles       []string      `json:"roles"`
	Callers     string        `json:"callers"`
	Peers       string        `json:"peers"`
	State       string        `json:"state"`
	Incarnation uint64        `json:"incarnation"`
	Groups      []groupStatus `json:"groups"`
}

type groupStatus struct {
	Group     uint32   `json:"group"`
	Leader    string   `json:"leader"`
	Voters    []string `json:"voters"`
	Learners  []string `json:"learners"`
	Commit    uint64   `json:"commit"`
	Tolerance int      `json:"tolerance"`
}

type entriesBody struct {
	Entries []struct {
		Address string `json:"address"`
		VM      string `json:"vm"`
		Place   string `json:"place"`
	} `json:"entries"`
	LifetimeMS int64  `json:"lifetime_ms"`
	Revision   uint64 `json:"revision"`
}

func (e *entriesBody) lifetime() time.Duration {
	return time.Duration(e.LifetimeMS) * time.Millisecond
}
