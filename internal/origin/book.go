package origin

import "time"

// Book is what one gate knows of the origins of streams. It is not safe for concurrent use.
type Book struct {
	*History
	*Records
}

// NewBook creates a Book that knows nothing of the time before now.
func NewBook(now time.Time) *Book {
	return &Book{History: NewHistory(now), Records: NewRecords(now)}
}

// Answer is what a gate knows of the build that began a stream.
type Answer struct {
	Record Record // valid if Known
	Known  bool   // the gate holds a record of the request
	Sole   bool   // the service has had SoleBuild only since the stream can have begun
	// SoleBuild is empty if the service has no replicas.
	SoleBuild string
	Doubt     Doubt // why not Sole
}

// Find returns what the gate knows of the stream that a request began at most window ago. The
// service is the one that a new request would use.
func (b *Book) Find(now time.Time, request, service string, window time.Duration) Answer {
	var a Answer
	a.Record, a.Known = b.Get(request)
	a.SoleBuild, a.Doubt = b.Sole(now, service, window)
	a.Sole = a.Doubt == ""
	return a
}

// Origin returns the service and the build at which the stream may go on. It returns false if
// the answer does not tell.
func (a *Answer) Origin(service string) (Record, bool) {
	switch {
	case a.Known && !a.Record.Unknown:
		return a.Record, true
	case a.Sole:
		return Record{Service: service, Build: a.SoleBuild}, true
	default:
		return Record{}, false
	}
}

// Final reports whether no other gate needs to be asked.
func (a *Answer) Final() bool { return a.Known || a.Sole }

// Prefer reports whether the answer is to be preferred to that of another gate. A record is
// certain, also one that says that the build is unknown.
func (a *Answer) Prefer(other *Answer) bool {
	if a.Known != other.Known {
		return a.Known
	}
	return a.Sole && !other.Sole
}
