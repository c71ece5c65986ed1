package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/checkedhttp"
	"slateway.example/slateway/internal/framing"
	"slateway.example/slateway/internal/telemetry"
	"slateway.example/slateway/internal/upstream"
)

// Names of counters of answers that end with their connections. Each is followed by the
// framing.Evidence.
const (
	countEndComplete  = "answers.connection_end.complete."
	countEndTruncated = "answers.connection_end.truncated."
)

// holdTimeout limits how long a request waits for a connection for later questions.
const holdTimeout = 50 * time.Millisecond

// delimiterOf returns what marks the end of an answer's body.
func delimiterOf(response *http.Response) framing.Delimiter {
	return framing.Head{
		Method: response.Request.Method, Status: response.StatusCode,
		Length: response.ContentLength, Chunked: len(response.TransferEncoding) > 0,
	}.Delimiter()
}

// confirmEnd returns nil if the answer, whose body has ended with its connection, is complete,
// and errTruncated unless it is certain that its process still runs.
func (a *attempt) confirmEnd() error {
	ended := time.Now()
	router := a.flight.shard.router
	router.transports.saw(a.target.Service)
	ctx, cancel := context.WithTimeout(a.ctx, framing.Patience(a.flight.request.Repeatable, a.info.TimeLeft()))
	defer cancel()
	writer := framing.Writer{Replica: string(a.target.Replica), Incarnation: a.target.Incarnation}
	var verdict framing.Verdict
	var found framing.Finding
	questions := 0
	for {
		questions++
		found = a.askWhoAnswers(ctx)
		verdict = framing.Judge(writer, found)
		if verdict.Final || !waitFor(ctx, framing.RetryDelay) {
			break
		}
	}
	a.flight.shard.log().Info("answer ended with its connection", telemetry.RequestID(a.flight.request.ID), zap.Uint64("attempt", uint64(a.id)),
		telemetry.Upstream(string(a.target.Replica)), zap.String("address", a.target.Address), zap.Uint64("incarnation", a.target.Incarnation),
		zap.Bool("complete", verdict.Complete), zap.String("evidence", string(verdict.Evidence)), zap.String("question", string(found.Outcome)),
		zap.String("found", found.Replica), zap.Uint64("found_incarnation", found.Incarnation), zap.Bool("held", found.Held),
		zap.Int("questions", questions), zap.Duration("took", time.Since(ended)), zap.Duration("since_request", time.Since(a.sentAt)))
	if verdict.Complete {
		router.options.Metrics.Count(countEndComplete + string(verdict.Evidence))
		return nil
	}
	router.options.Metrics.Count(countEndTruncated + string(verdict.Evidence))
	return errTruncated
}

// waitFor waits for a duration and returns true, or false if ctx ends before.
func waitFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// askWhoAnswers asks the replica once which process answers at its address.
func (a *attempt) askWhoAnswers(ctx context.Context) framing.Finding {
	identifier, ok := a.flight.protocol.(Identifier)
	if !ok {
		return framing.Finding{Outcome: framing.NotAsked}
	}
	if a.target.Kind == upstream.KindEngine { // another connection will do as well
		bounded, cancel := context.WithTimeout(ctx, framing.QuestionTimeout)
		defer cancel()
		ctx = bounded
	}
	return a.transports().question(ctx, identifier, &a.target, a.sentAt)
}

// holdConnection opens a connection for the question that the answer may need at its end, unless
// there is one. The transport keeps it open.
func (a *attempt) holdConnection() {
	identifier, ok := a.flight.protocol.(Identifier)
	if !ok || a.target.Kind == upstream.KindEngine || !a.transports().lacksHeld(&a.target, a.flight.request.Repeatable) {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, holdTimeout)
	defer cancel()
	a.transports().question(ctx, identifier, &a.target, time.Now())
}

// question asks which process answers at a replica's address. sent is when the request was sent
// whose answer has ended.
func (l *transports) question(ctx context.Context, identifier Identifier, target *upstream.Announcement, sent time.Time) framing.Finding {
	request, err := identifier.IdentifyRequest(ctx, target)
	if err != nil {
		return framing.Finding{Outcome: framing.NotAsked}
	}
	transport := l.questions
	if target.Kind == upstream.KindEngine {
		transport = l.pool(target.Replica) // an engine tells its incarnation over any connection
	}
	var found framing.Finding
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		held, ok := checkedhttp.Underlying(info.Conn).(*heldConn)
		found.Held = ok && held.opened.Before(sent)
	}}))
	answer, err := transport.RoundTrip(request)
	if err != nil {
		found.Outcome = framing.Unanswered
		if errors.Is(err, syscall.ECONNREFUSED) {
			found.Outcome = framing.Refused
		}
		return found
	}
	defer answer.Body.Close()
	l.held.used(target.Address)
	found.Outcome = framing.Answered
	found.Identity = identifier.ParseIdentity(answer)
	return found
}
