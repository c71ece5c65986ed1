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

func (r *recorder) do(client int, in call, fn func() answerTo) answerTo {
	began := time.Since(r.start)
	out := fn()
	ended := time.Since(r.start)
	if out.lost {
		ended = time.Hour // it may still happen later
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: began.Nanoseconds(), Output: out, Return: ended.Nanoseconds()})
	return out
}

// outcome turns an error into an answer: refusals are answers, the rest is lost.
func outcome(err error, refusals ...apierr.Reason) answerTo {
	reason := reasonOf(err)
	for _, refusal := range refusals {
		if reason == refusal {
			return answerTo{state: "refused"}
		}
	}
	return answerTo{lost: true}
}

// user is one concurrent client; each call has its own time limit, so that a
// keeper that is cut off shows as a lost answer.
type user struct {
	number int
	client *keeperclient.Client
	random *rand.Rand
	calls  int
}

// lostAnswers is how many in a hundred answers are lost.
const lostAnswers = 5

func newUser(cluster *keepertest.Cluster, number int, seed uint64) *user {
	var mu sync.Mutex // a client has several calls open
	losses := rand.New(rand.NewPCG(seed, uint64(1000+number)))
	client := cluster.LossyClient(func() bool {
		mu.Lock()
		defer mu.Unlock()
		return losses.IntN(100) < lostAnswers
	})
	return &user{number: number, client: client, random: rand.New(rand.NewPCG(seed, uint64(number)+1))}
}

const callLimit = 1500 * time.Millisecond

func (u *user) limited(fn func(ctx context.Context) answerTo) func() answerTo {
	return func() answerTo {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		defer cancel()
		return fn(ctx)
	}
}

func (u *user) nextID() string {
	u.calls++
	return fmt.Sprintf("u%d-%d", u.number, u.calls)
}

// editTeam reads the team and puts it with the revision that it read. A put
// whose answer is lost is resent under its ID until it is answered: so its
// place in the history is known.
func (u *user) editTeam(r *recorder) {
	seen := r.do(u.number, call{object: "team", kind: "read"}, u.limited(func(ctx context.Context) answerTo {
		found, err := u.client.GetTeam(ctx, "council")
		if err != nil {
			return answerTo{lost: true}
		}
		return answerTo{at: found.Revision, value: found.Team.Values[0].Value}
	}))
	if seen.lost || u.random.IntN(3) == 0 {
		return
	}
	id := u.nextID()
	change := team.Change{ID: id, Operator: id, BaseRevision: seen.at, PutTeam: council(id)}
	r.do(u.number, call{object: "team", kind: "put", id: id, base: seen.at}, func() answerTo {
		for {
			ctx, cancel := context.WithTimeout(context.Background(), callLimit)
			outcome, err := u.client.ApplyChange(ctx, change)
			cancel()
			switch {
			case err == nil:
				return answerTo{state: "won", at: outcome.Revision}
			case reasonOf(err) == team.ReasonConflict:
				return answerTo{state: "conflict"}
			}
		}
	})
}

func council(value string) *team.Team {
	return &team.Team{Name: "council", Template: "newsdesk", Values: []team.Value{{Name: "model", Value: value}}}
}

// useJob completes, cancels or reads one of the jobs.
func (u *user) useJob(r *recorder, ids []job.ID) {
	id := ids[u.random.IntN(len(ids))]
	value := u.nextID()
	kind := []string{"complete", "cancel", "status", "status"}[u.random.IntN(4)]
	r.do(u.number, call{object: string(id), kind: kind, id: value}, u.limited(func(ctx context.Context) answerTo {
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
		return answerTo{}
	}))
}

// jobStatus reads state and result. The result of a completed job never changes,
// so reading it second is one with reading the state.
func (u *user) jobStatus(ctx context.Context, id job.ID) answerTo {
	status, err := u.client.JobStatus(ctx, id)
	if err != nil {
		return answerTo{lost: true}
	}
	read := answerTo{state: string(status.State)}
	if status.State == job.StateCompleted {
		results, err := u.client.Results(ctx, id, 0, 1)
		if err != nil {
			return answerTo{lost: true}
		}
		read.value = string(results.Results[0].Body)
	}
	return read
}

// useClaim claims a key; who is granted finishes it.
func (u *user) useClaim(r *recorder, session *keeperclient.Session) {
	key, id := fmt.Sprint("plate-", u.random.IntN(30)), u.nextID()
	answer := r.do(u.number, call{object: key, kind: "claim", id: id}, u.limited(func(ctx context.Context) answerTo {
		response, err := session.Claim(ctx, "registry", key, 1, id)
		if err != nil {
			return answerTo{lost: true}
		}
		return answerTo{state: string(response.State), value: string(response.Outcome)}
	}))
	if answer.state != string(claim.StateGranted) {
		return
	}
	r.do(u.number, call{object: key, kind: "finish", id: id}, u.limited(func(ctx context.Context) answerTo {
		err := session.FinishClaim(ctx, claim.Finish{Team: "registry", Key: key, ID: id, Outcome: []byte(id)})
		return answerTo{lost: err != nil}
	}))
}

// disturb stops, restarts, cuts off and heals one keeper at a time.
func disturb(cluster *keepertest.Cluster, random *rand.Rand, done <-chan struct{}) {
	for {
		victim := cluster.Keepers[random.IntN(len(cluster.Keepers))]
		cut := keepertest.Cut(random.IntN(3)) // none: it is restarted
		if cut == keepertest.CutNothing {
			victim.Stop()
		}
		victim.SetCut(cut)
		time.Sleep(time.Duration(700+random.IntN(1500)) * time.Millisecond)
		if cut == keepertest.CutNothing {
			cluster.Restart(victim)
		}
		victim.SetCut(keepertest.CutNothing)
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(500)) * time.Millisecond):
		}
	}
}

// Operators race each other and resend, gates complete and claim, callers cancel
// and read, and each loses answers, while keepers are stopped, restarted from
// small snapshots and cut off silently, one at a time; a keeper that is cut off
// from its peers is still asked. A user would see an accepted change revert, two
// winners, a result that changes, a cancelled job that completes, or a plate
// confirmation that is granted twice; some order of the calls must explain what
// each was told.
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
		options.SessionTTL = time.Hour // no claim ends by itself: the model has no gates
	})
	ids := prepare(t, cluster.Client())
	teams, jobs, claims := &recorder{start: time.Now()}, &recorder{start: time.Now()}, &recorder{start: time.Now()}
	var users, disturber sync.WaitGroup
	done := make(chan struct{})
	disturber.Go(func() { disturb(cluster, rand.New(rand.NewPCG(seed, 0)), done) })
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
	disturber.Wait()
	check(t, "teams", model(object{value: "first", at: 2}, teamStep), teams.history)
	check(t, "jobs", model(object{state: string(job.StateRunning)}, jobStep), jobs.history)
	check(t, "claims", model(object{}, claimStep), claims.history)
}

// prepare makes the team and 20 sealed jobs of one item each.
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
		if op.Output.(answerTo).lost {
			lost++
		}
	}
	verdict := porcupine.CheckOperationsTimeout(m, history, time.Minute)
	t.Logf("%s: %d operations, %d without an answer: %s", name, len(history), lost, verdict)
	if verdict != porcupine.Ok {
		t.Errorf("%s: the history is %s", name, verdict)
	}
}
