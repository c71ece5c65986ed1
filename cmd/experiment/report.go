package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"slateway.example/slateway/internal/load"
)

// cell is the result of one mode under one fault.
type cell struct {
	Mode        mode             `json:"mode"`
	Fault       string           `json:"fault"`
	Online      load.Summary     `json:"online"`
	P99Ratio    float64          `json:"p99_ratio"` // of the first token, relative to no-batch under the same fault
	BatchItems  float64          `json:"batch_items"`
	BatchRate   float64          `json:"batch_items_per_second"`
	IdleShare   float64          `json:"idle_share"` // batch rate relative to the capacity that online requests left idle
	LostEngines int              `json:"lost_engines"`
	MachineLoad string           `json:"machine_load"` // one-minute load average at the end
	Counters    map[string]int64 `json:"counters"`     // increase, summed over the VMs that answered at the end
	Curve       []float64        `json:"first_token_curve_ms"`
}

func newCell(m mode, faultName string, recorder *load.Recorder, items float64, counters map[string]int64, lost int, capacity float64) *cell {
	online := recorder.Summary()
	result := &cell{
		Mode:        m,
		Fault:       faultName,
		Online:      online,
		BatchItems:  items,
		BatchRate:   items / online.Seconds,
		LostEngines: lost,
		MachineLoad: machineLoad(),
		Counters:    counters,
		Curve:       recorder.FirstTokenCurve(curveQuantiles()),
	}
	if idle := capacity - answerRate(online); idle > 0 {
		result.IdleShare = result.BatchRate / idle
	}
	return result
}

// machineLoad returns the machine's one-minute load average. Results from a machine
// that runs other work are unreliable.
func machineLoad() string {
	content, _ := os.ReadFile("/proc/loadavg")
	minute, _, _ := strings.Cut(string(content), " ")
	return minute
}

// report is the result of an experiment.
type report struct {
	Command  string  `json:"command"`
	Workload string  `json:"workload"`
	Policy   string  `json:"policy"`
	Gates    int     `json:"gates"`
	Seed     uint64  `json:"seed"`
	Share    float64 `json:"online_share_of_capacity"`
	Length   string  `json:"length"`
	Capacity float64 `json:"capacity_requests_per_second"`
	Cells    []*cell `json:"cells"`
}

func (r *report) addCell(result *cell) {
	r.Cells = append(r.Cells, result)
	for _, other := range r.Cells {
		if other.Fault == result.Fault && other.Mode == modeNone && other.Online.FirstToken.P99 > 0 {
			result.P99Ratio = result.Online.FirstToken.P99 / other.Online.FirstToken.P99
		}
	}
}

// printCell prints a cell's error reasons and the gates' refusal and retry counters.
func (r *report) printCell(out io.Writer, result *cell) {
	fmt.Fprintf(out, "%s under %s: %d of %d answered", result.Mode, result.Fault, result.Online.Answered, result.Online.Offered)
	for _, reason := range slices.Sorted(maps.Keys(result.Online.Reasons)) {
		fmt.Fprintf(out, ", %s %d", reason, result.Online.Reasons[reason])
	}
	fmt.Fprintln(out)
	var counted []string
	for _, name := range slices.Sorted(maps.Keys(result.Counters)) {
		if strings.HasPrefix(name, "refused.") || strings.HasPrefix(name, "retried.") {
			counted = append(counted, fmt.Sprintf("%s %d", name, result.Counters[name]))
		}
	}
	if len(counted) > 0 {
		fmt.Fprintf(out, "  gates: %s\n", strings.Join(counted, ", "))
	}
}

func (r *report) printTable(out io.Writer) {
	fmt.Fprintf(out, "\n%s, policy %s, %d gates, seed %d, capacity %.0f requests/s, online %.0f%% of it for %s\n",
		r.Workload, r.Policy, r.Gates, r.Seed, r.Capacity, 100*r.Share, r.Length)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "fault\tmode\toffered\tanswered\tmedian ms\tp95\tp99\tp99.9\tp99 ratio\titems/s\tof idle\tengines lost\tload\t")
	for _, c := range r.Cells {
		first := c.Online.FirstToken
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.0f%%\t%d\t%s\t\n", c.Fault, c.Mode, c.Online.Offered, c.Online.Answered,
			first.Median, first.P95, first.P99, first.P999, c.P99Ratio, c.BatchRate, 100*c.IdleShare, c.LostEngines, c.MachineLoad)
	}
	table.Flush()
}

func (r *report) save(name string) error {
	encoded, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(name+".json", append(encoded, '\n'), 0o644); err != nil {
		return err
	}
	return r.plot(name + ".svg")
}
