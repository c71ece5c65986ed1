package account

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Report summarizes the logs that a Ledger has read.
type Report struct {
	Start   time.Time   `json:"start"`
	Rows    []Row       `json:"rows"`
	Seconds []Second    `json:"seconds"`
	Batch   Batch       `json:"batch"`
	Unread  int         `json:"unread"`  // number of lines that are not log lines of slatewayd
	Foreign []LineError `json:"foreign"` // the first of them
}

// Row counts the requests of a route with one cause at one replica.
type Row struct {
	Cause    Cause         `json:"cause"`
	Route    string        `json:"route,omitempty"`
	Replica  string        `json:"replica,omitempty"`
	Requests int           `json:"requests"`
	Took     time.Duration `json:"took_ns"` // total time due to the cause
	Longest  time.Duration `json:"longest_ns"`
}

// Second counts the requests with one cause that arrived within one second.
type Second struct {
	Second   int   `json:"second"` // since Report.Start
	Cause    Cause `json:"cause"`
	Requests int   `json:"requests"`
}

// Batch holds the counters of batch items and their runs.
type Batch struct {
	Items         int           `json:"items"` // with a result
	Late          int           `json:"late"`
	Unfinished    int           `json:"unfinished"` // without a result in these logs
	Runs          int           `json:"runs"`       // of the items with a result
	SeveralRuns   int           `json:"several_runs"`
	Restarts      int           `json:"anew"`    // runs that restarted an item from the beginning
	Stopped       int           `json:"stopped"` // runs stopped by a gate
	Failed        int           `json:"failed"`
	MedianStopped time.Duration `json:"median_stopped_ns"` // median length of a stopped run

	lengths []time.Duration
}

func compareRows(a, b Row) int {
	return cmp.Or(
		cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause),
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Replica, b.Replica),
	)
}

func compareSeconds(a, b Second) int {
	return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(a.Cause, b.Cause))
}

// Requests returns the number of all requests and of those served in time.
func (r *Report) Requests() (all, inTime int) {
	for _, row := range r.Rows {
		all += row.Requests
		if row.Cause == InTime {
			inTime += row.Requests
		}
	}
	return all, inTime
}

// groupBy sums up the rows with the same key.
func (r *Report) groupBy(key func(*Row) Row) []Row {
	joined := map[Row]*Row{}
	for i := range r.Rows {
		row := &r.Rows[i]
		k := key(row)
		total := joined[k]
		if total == nil {
			total = &Row{Cause: k.Cause, Route: k.Route, Replica: k.Replica}
			joined[k] = total
		}
		total.Requests += row.Requests
		total.Took += row.Took
		total.Longest = max(total.Longest, row.Longest)
	}
	var rows []Row
	for _, row := range joined {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

// maxListedReplicas is the maximum number of replicas that are listed.
const maxListedReplicas = 12

// Write prints the report as tables.
func (r *Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	all, inTime := r.Requests()
	fmt.Fprintf(table, "%d requests, %d in time\n", all, inTime)
	byRoute := r.groupBy(func(row *Row) Row { return Row{Cause: row.Cause, Route: row.Route} })
	writeRows(table, "ROUTE", byRoute, func(row *Row) string { return row.Route })
	writeRows(table, "REPLICA", r.byReplica(), func(row *Row) string { return row.Replica })
	r.Batch.write(table)
	r.writeUnread(table)
	return table.Flush()
}

// byReplica sums up the rows with a replica by cause and replica, the most frequent
// first.
func (r *Report) byReplica() []Row {
	rows := r.groupBy(func(row *Row) Row { return Row{Cause: row.Cause, Replica: row.Replica} })
	rows = slices.DeleteFunc(rows, func(row Row) bool { return row.Replica == "" })
	return rows[:min(len(rows), maxListedReplicas)]
}

func writeRows(table io.Writer, heading string, rows []Row, name func(*Row) string) {
	fmt.Fprintf(table, "\nREQUESTS\tMEAN\tLONGEST\t%s\tCAUSE\n", heading)
	for i := range rows {
		row := &rows[i]
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", row.Requests, mean(row), round(row.Longest), name(row), row.Cause)
	}
}

func (b *Batch) write(table io.Writer) {
	fmt.Fprint(table, "\nBATCH ITEMS\tLATE\tUNFINISHED\tRUNS\tWITH SEVERAL RUNS\tRUNS RESTARTED\tRUNS STOPPED\tMEDIAN LENGTH\tRUNS FAILED\n")
	fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%d\n", b.Items, b.Late, b.Unfinished, b.Runs, b.SeveralRuns, b.Restarts,
		b.Stopped, round(b.MedianStopped), b.Failed)
}

func (r *Report) writeUnread(table io.Writer) {
	if r.Unread == 0 {
		return
	}
	fmt.Fprintf(table, "\n%d unreadable lines:\n", r.Unread)
	for _, line := range r.Foreign {
		fmt.Fprintln(table, line.Error())
	}
}

func mean(row *Row) time.Duration { return round(row.Took / time.Duration(row.Requests)) }

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
