package keeper

import (
	"sync"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/blob"
	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/instant"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/replica"
)

// JobMachine is the state machine of a job group: jobs, sessions and claims.
type JobMachine struct {
	files *files

	mu       sync.RWMutex
	jobs     *job.Table
	claims   *claim.Table
	lastTime instant.Micros // time of the newest command
	changed  notifier       // notified when items may have become available or a job may have ended
}

var _ replica.StateMachine = (*JobMachine)(nil)

// NewJobMachine creates an empty machine that stores its records in folder, which
// must exist. It calls fail when a file cannot be written or read. fail must not
// return, because a replica that continued would diverge from the others.
func NewJobMachine(folder string, fail func(error)) *JobMachine {
	return newJobMachine(folder, blob.DefaultSegmentBytes, fail)
}

func newJobMachine(folder string, segmentBytes int64, fail func(error)) *JobMachine {
	m := &JobMachine{files: newFiles(folder, segmentBytes, fail)}
	m.jobs = job.NewTable(m.files)
	m.claims = claim.NewTable(m.files)
	return m
}

// Apply executes a command and returns its encoded result.
func (m *JobMachine) Apply(entry replica.Entry) []byte {
	var cmd command
	if err := codec.Unmarshal(entry.Data, &cmd); err != nil {
		return codec.MustMarshal(result{Refusal: unreadableCommand(entry.Index)})
	}
	m.mu.Lock()
	// The clock of a new leader may be behind that of the previous one. If time ran
	// backwards within the state, a job could expire before it ended.
	m.lastTime = max(m.lastTime, cmd.At)
	answer := m.execute(&cmd, m.lastTime)
	m.mu.Unlock()
	if cmd.affectsWaiters() {
		m.changed.notify()
	}
	return codec.MustMarshal(answer)
}

// affectsWaiters reports whether the command can make items available or end a job.
func (c *command) affectsWaiters() bool {
	return c.Submit != nil || c.Expire || c.Seal != nil || c.Cancel != "" || c.OpenSession != nil || c.EndSessions != nil || c.Complete != nil
}

func (m *JobMachine) execute(cmd *command, now instant.Micros) result {
	switch {
	case cmd.Submit != nil:
		return statusResult(m.jobs.Submit(cmd.Submit, now))
	case cmd.Create != nil:
		return statusResult(m.jobs.Create(*cmd.Create, now))
	case cmd.AddPart != nil:
		return statusResult(m.jobs.AddPart(cmd.AddPart.Job, cmd.AddPart.Number, cmd.AddPart.Count, cmd.AddPart.Data))
	case cmd.Seal != nil:
		return statusResult(m.jobs.Seal(cmd.Seal.Job, cmd.Seal.Parts, now))
	case cmd.Cancel != "":
		return statusResult(m.jobs.Cancel(cmd.Cancel, now))
	case cmd.OpenSession != nil:
		m.endSessions(m.jobs.ReplacedSessions(cmd.OpenSession.run()), now)
		m.jobs.OpenSession(cmd.OpenSession.Session, cmd.OpenSession.run())
	case cmd.EndSessions != nil:
		m.endSessions(cmd.EndSessions, now)
	case cmd.Lease != nil:
		leased, taken, refusal := m.jobs.Lease(cmd.Lease.Session, cmd.Lease.Request, cmd.Lease.Wants, now)
		return result{Leased: leased, Taken: taken, Refusal: refusal}
	case cmd.Complete != nil:
		m.jobs.Complete(cmd.Complete.Session, cmd.Complete.Results, now)
	case cmd.Expire:
		m.jobs.Expire(now)
		m.claims.Expire(now)
	case cmd.Claim != nil:
		answer, refusal := m.claims.Claim(*cmd.Claim, m.jobs.HasSession(cmd.Claim.Session))
		return result{Claim: &answer, Refusal: refusal}
	case cmd.FinishClaim != nil:
		return result{Refusal: m.claims.Finish(*cmd.FinishClaim, now)}
	}
	return result{}
}

func statusResult(status job.Status, refusal *apierr.Error) result {
	if refusal != nil {
		return result{Refusal: refusal}
	}
	return result{Status: &status}
}

func (m *JobMachine) endSessions(sessions []job.SessionID, now instant.Micros) {
	for _, session := range sessions {
		m.jobs.EndSession(session, now)
		m.claims.EndSession(session, now)
	}
}

// jobState is the encoded form of a JobMachine.
type jobState struct {
	Jobs   []byte         `cbor:"1,keyasint"`
	Claims []byte         `cbor:"2,keyasint"`
	Last   instant.Micros `cbor:"3,keyasint"`
}

// Snapshot syncs the files and encodes the state. It also deletes the files to
// which neither this snapshot nor the previous one refers.
func (m *JobMachine) Snapshot() (replica.Snapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	jobs, err := m.jobs.Snapshot()
	if err != nil {
		return replica.Snapshot{}, err
	}
	claims, err := m.claims.Snapshot()
	if err != nil {
		return replica.Snapshot{}, err
	}
	state, err := codec.Marshal(jobState{Jobs: jobs, Claims: claims, Last: m.lastTime})
	if err != nil {
		return replica.Snapshot{}, err
	}
	listed, err := m.files.sync(m.inUse)
	return replica.Snapshot{State: state, Files: listed}, err
}

func (m *JobMachine) inUse(kind fileKind, segment uint32) bool {
	switch kind {
	case partFiles:
		return m.jobs.PartSegmentInUse(segment)
	case resultFiles:
		return m.jobs.ResultSegmentInUse(segment)
	default:
		return m.claims.SegmentInUse(segment)
	}
}

// Restore replaces the state by that of a snapshot.
func (m *JobMachine) Restore(s replica.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.changed.notify()
	if err := m.files.restore(s.Files); err != nil {
		return err
	}
	m.jobs = job.NewTable(m.files)
	m.claims = claim.NewTable(m.files)
	m.lastTime = 0
	if len(s.State) == 0 {
		return nil
	}
	return m.decode(s.State)
}

func (m *JobMachine) decode(data []byte) error {
	var state jobState
	if err := codec.Unmarshal(data, &state); err != nil {
		return err
	}
	jobs, err := job.RestoreTable(state.Jobs, m.files)
	if err != nil {
		return err
	}
	claims, err := claim.RestoreTable(state.Claims, m.files)
	if err != nil {
		return err
	}
	m.jobs, m.claims, m.lastTime = jobs, claims, state.Last
	return nil
}

// read calls fn with the state locked for reading.
func (m *JobMachine) read(fn func(jobs *job.Table, claims *claim.Table)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	fn(m.jobs, m.claims)
}

// replacedSessions returns the sessions of earlier runs of a gate's process.
func (m *JobMachine) replacedSessions(run job.GateRun) (replaced []job.SessionID) {
	m.read(func(jobs *job.Table, _ *claim.Table) { replaced = jobs.ReplacedSessions(run) })
	return replaced
}

// sessions returns the open sessions.
func (m *JobMachine) sessions() (open []job.SessionID) {
	m.read(func(jobs *job.Table, _ *claim.Table) { open = jobs.Sessions() })
	return open
}

// expired reports whether the retention of any job or claim has ended.
func (m *JobMachine) expired(now instant.Micros) (expired bool) {
	m.read(func(jobs *job.Table, claims *claim.Table) {
		expired = jobs.Expired(now) || claims.Expired(now)
	})
	return expired
}

// hasWork reports whether an item can be leased for one of the wants.
func (m *JobMachine) hasWork(wants []job.QueueDemand) (found bool) {
	m.read(func(jobs *job.Table, _ *claim.Table) { found = jobs.HasWork(wants) })
	return found
}

// readyItems returns the number of items of a queue that can be leased now, up to
// limit.
func (m *JobMachine) readyItems(queue job.Queue, limit int) (count int) {
	m.read(func(jobs *job.Table, _ *claim.Table) { count = jobs.Ready(queue, limit) })
	return count
}

// Close closes the files. The machine must not be used after that.
func (m *JobMachine) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.files.close()
}
