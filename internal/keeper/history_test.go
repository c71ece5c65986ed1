package keeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/claim"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/keeper"
	"slateway.example/slateway/internal/keeper/keeperclient"
	"slateway.example/slateway/internal/keeper/keepertest"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/team"
)

// recorder collects the operations of concurrent clients.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *recorder) record(client int, in call, fn func() callResult) callResult {
	began := time.Since(r.start)
	out := fn()
	ended := time.Since(r.start)
	if out.lost {
		ended = time.Hour // the call may still take effect later
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: began.Nanoseconds(), Output: out, Return: ended.Nanoseconds()})
	return out
}

// outcome converts an error to an answer: refused for the listed reasons, otherwise
// lost.
func outcome(err error, refusals ...apierr.Reason) callResult {
	reason := reasonOf(err)
	for _, refusal := range refusals {
		if reason == refusal {
			return callResult{state: "refused"}
		}
	}
	return callResult{lost: true}
}

// user is one concurrent client. Each of its calls has a timeout, so that a call to
// an isolated keeper counts as one without an answer.
type user struct {
	number int
	client *keeperclient.Client
	random *rand.Rand
	calls  int
}

// lossPercent is the percentage of answers that are lost.
const lossPercent = 5

func newUser(cluster *keepertest.Cluster, number int, seed uint64) *user {
	var mu sync.Mutex // a client has concurrent calls
	losses := rand.New(rand.NewPCG(seed, uint64(1000+number)))
	client := cluster.LossyClient(func() bool {
		mu.Lock()
		defer mu.Unlock()
		return losses.IntN(100) < lossPercent
	})
	return &user{number: number, client: client, random: rand.New(rand.NewPCG(seed, uint64(number)+1))}
}

const callTimeout = 1500 * time.Millisecond

func (u *user) withTimeout(fn func(ctx context.Context) callResult) func() callResult {
	return func() callResult {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return fn(ctx)
	}
}

func (u *user) nextID() string {
	u.calls++
	return fmt.Sprintf("u%d-%d", u.number, u.calls)
}

// editTeam reads the team and puts it with the revision that it read. A put whose
// answer is lost is resent with the same ID until it is answered, so that its outcome
// in the history is known.
func (u *user) editTeam(r *recorder) {
	seen := r.record(u.number, call{object: "team", kind: "read"}, u.withTimeout(func(ctx context.Context) callResult {
		found, err := u.client.GetTeam(ctx, "council")
		if err != nil {
			return callResult{lost: true}
		}
		return callResult{revision: found.Revision, value: found.Team.Values[0].Value}
	}))
	if seen.lost || u.random.IntN(3) == 0 {
		return
	}
	id := u.nextID()
	change := team.Change{ID: id, Operator: id, BaseRevision: seen.revision, PutTeam: council(id)}
	r.record(u.number, call{object: "team", kind: "put", id: id, base: seen.revision}, func() callResult {
		for {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			outcome, err := u.client.ApplyChange(ctx, change)
			cancel()
			switch {
			case err == nil:
				return callResult{state: "won", revision: outcome.Revision}
			case reasonOf(err) == team.ReasonConflict:
				return callResult{state: "conflict"}
			}
		}
	})
}

func council(value string) *team.Team {
	return &team.Team{Name: "council", Template: "newsdesk", Values: []team.Value{{Name: "model", Value: value}}}
}

// useJob completes, cancels or reads a random job.
func (u *user) useJob(r *recorder, ids []job.ID) {
	id := ids[u.random.IntN(len(ids))]
	value := u.nextID()
	kind := []string{"complete", "cancel", "status", "status"}[u.random.IntN(4)]
	r.record(u.number, call{object: string(id), kind: kind, id: value}, u.withTimeout(func(ctx context.Context) callResult {
		var err error
		switch kind {
		case "complete":
			result := job.Result{Job: id, Attempt: 1, Outcome: job.OutcomeSucceeded, Body: []byte(value)}
			err = u.client.NewSession(job.GateRun{VM: "vm-" + value}).Complete(ctx, []job.Result{result})
		case "cancel":
			_, err = u.client.CancelJob(ctx, id)
		default:
			return u.jobStatus(ctx, id)
		}
		if err != nil {
			return outcome(err, job.ReasonJobEnded)
		}
		return callResult{}
	}))
}

// jobStatus reads the state and the result. The result of a completed job never
// changes, so both reads together count as one atomic read.
func (u *user) jobStatus(ctx context.Context, id job.ID) callResult {
	status, err := u.client.JobStatus(ctx, id)
	if err != nil {
		return callResult{lost: true}
	}
	read := callResult{state: string(status.State)}
	if status.State == job.StateCompleted {
		results, err := u.client.Results(ctx, id, 0, 1)
		if err != nil {
			return callResult{lost: true}
		}
		read.value = string(results.Results[0].Body)
	}
	return read
}

// useClaim claims a random key and finishes the claim if it is granted.
func (u *user) useClaim(r *recorder, session *keeperclient.Session) {
	key, id := fmt.Sprint("plate-", u.random.IntN(30)), u.nextID()
	answer := r.record(u.number, call{object: key, kind: "claim", id: id}, u.withTimeout(func(ctx context.Context) callResult {
		response, err := session.Claim(ctx, "registry", key, 1, id)
		if err != nil {
			return callResult{lost: true}
		}
		return callResult{state: string(response.State), value: string(response.Outcome)}
	}))
	if answer.state != string(claim.StateGranted) {
		return
	}
	r.record(u.number, call{object: key, kind: "finish", id: id}, u.withTimeout(func(ctx context.Context) callResult {
		err := session.FinishClaim(ctx, claim.Finish{Team: "registry", Key: key, ID: id, Outcome: []byte(id)})
		return callResult{lost: err != nil}
	}))
}

// injectFaults stops and restarts, or isolates and reconnects, one random keeper at a
// time until done is closed.
func injectFaults(cluster *keepertest.Cluster, random *rand.Rand, done <-chan struct{}) {
	for {
		victim := cluster.Keepers[random.IntN(len(cluster.Keepers))]
		isolation := keepertest.Isolation(random.IntN(3)) // NotIsolated: the keeper is restarted
		if isolation == keepertest.NotIsolated {
			victim.Stop()
		}
		victim.SetIsolation(isolation)
		time.Sleep(time.Duration(700+random.IntN(1500)) * time.Millisecond)
		if isolation == keepertest.NotIsolated {
			cluster.Restart(victim)
		}
		victim.SetIsolation(keepertest.NotIsolated)
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(500)) * time.Millisecond):
		}
	}
}

// Concurrent operators, gates and callers change teams, complete and cancel jobs and
// claim keys, with lost answers and resends. Meanwhile keepers are stopped, restarted
// from small snapshots and isolated, one at a time; clients still call a keeper that
// is isolated from its peers. The histories must be linearizable: no accepted change
// is reverted, no conflict has two winners, no result changes, no cancelled job
// completes and no claim is granted twice.
func TestHistoriesAreLinearizable(t *testing.T) {
	seed := uint64(setting("HISTORY_SEED", 1))
	for range setting("HISTORY_RUNS", 2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkHistories(t, seed) })
		seed++
	}
}

func checkHistories(t *testing.T, seed uint64) {
	cluster := keepertest.StartCluster(t, 3, 3, func(config *replica.Config, options *keeper.Options) {
		config.SnapshotEntries = 50
		options.SessionTTL = time.Hour // no session expires: the model has no expiry of claims
	})
	ids := prepare(t, cluster.Client())
	teams, jobs, claims := &recorder{start: time.Now()}, &recorder{start: time.Now()}, &recorder{start: time.Now()}
	var users, faults sync.WaitGroup
	done := make(chan struct{})
	faults.Go(func() { injectFaults(cluster, rand.New(rand.NewPCG(seed, 0)), done) })
	for number := range 6 {
		u := newUser(cluster, number, seed)
		users.Go(func() {
			session := u.client.NewSession(job.GateRun{VM: fmt.Sprint("vm-", number)})
			for range 60 {
				u.editTeam(teams)
				u.useJob(jobs, ids)
				u.useClaim(claims, session)
			}
		})
	}
	users.Wait()
	close(done)
	faults.Wait()
	check(t, "teams", model(object{value: "first", revision: 2}, teamStep), teams.history)
	check(t, "jobs", model(object{state: string(job.StateRunning)}, jobStep), jobs.history)
	check(t, "claims", model(object{}, claimStep), claims.history)
}

// prepare creates the team and 20 sealed jobs of one item each.
func prepare(t *testing.T, client *keeperclient.Client) []job.ID {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	parsed, err := team.ParseTemplate("newsdesk", []byte("[[parameters]]\nname = \"model\"\ntype = \"string\""))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.ApplyChange(ctx, team.Change{ID: "template", PutTemplate: &parsed}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.ApplyChange(ctx, team.Change{ID: "team", PutTeam: council("first")}); err != nil {
		t.Fatal(err)
	}
	var ids []job.ID
	for n := range 20 {
		status, err := client.CreateJob(ctx, spec(fmt.Sprint("job-", n)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.AddPart(ctx, status.ID, 0, items(n, 1)); err != nil {
			t.Fatal(err)
		}
		if _, err := client.SealJob(ctx, status.ID, 1); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, status.ID)
	}
	return ids
}

func check(t *testing.T, name string, m porcupine.Model, history []porcupine.Operation) {
	t.Helper()
	lost := 0
	for _, op := range history {
		if op.Output.(callResult).lost {
			lost++
		}
	}
	verdict := porcupine.CheckOperationsTimeout(m, history, time.Minute)
	t.Logf("%s: %d operations, %d without an answer: %s", name, len(history), lost, verdict)
	if verdict != porcupine.Ok {
		t.Errorf("%s: the history is %s", name, verdict)
	}
}
