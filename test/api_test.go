package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"slateway.example/slateway/test/harness"
)

// Names in the configuration of the tests.
const (
	token = "token-of-guild"
	model = "small"
)

// newsdesk is the template of the tests' team.
const newsdesk = `name = "newsdesk"
services = ["pagedesk"]

[[parameters]]
name = "concurrent"
type = "integer"
default = 500
min = 1
max = 100000

[[models]]
name = "small"
service = "wordroom"

[online]
requests_per_second = 10000
burst = 10000
concurrent = "${concurrent}"

[batch]
policy = "throughput"
`

// places are the Guild's data centres.
var places = []harness.Place{
	{Name: "glas-a", Region: "scot-central"},
	{Name: "edin-b", Region: "scot-central"},
	{Name: "perth-c", Region: "scot-central"},
}

// shortTimeouts are settings for fast detection of lost VMs and fast elections.
const shortTimeouts = `
[member]
heartbeat = "200ms"
suspect_after = "1s"
lost_after = "1s"
[quorum]
heartbeat = "100ms"
election = "500ms"
[config]
lease = "3s"
[directory]
answer_lifetime = "1s"
[batch]
lease = "3s"
`

// threeVMs returns three VMs, one in each place, that are both gate and keeper.
func threeVMs() harness.Options {
	options := harness.Options{Settings: shortTimeouts}
	for _, place := range places {
		options.VMs = append(options.VMs, harness.VMOptions{Place: place, Gate: true, Keeper: true})
	}
	return options
}

// startGuild starts three VMs, the given number of wordroom engines assigned to the
// places in turn, and configures the team guild.
func startGuild(ctx context.Context, engines int, flags ...string) (*harness.Fleet, []*harness.Upstream) {
	GinkgoHelper()
	return startSite(ctx, threeVMs(), engines, flags...)
}

// startSite does the same with other fleet options.
func startSite(ctx context.Context, options harness.Options, engines int, flags ...string) (*harness.Fleet, []*harness.Upstream) {
	GinkgoHelper()
	fleet := newFleet(options)
	Expect(fleet.Start()).To(Succeed())
	upstreams := make([]*harness.Upstream, engines)
	for i := range upstreams {
		var err error
		upstreams[i], err = fleet.StartEngine("wordroom", fmt.Sprintf("wordroom-%d", i+1), places[i%len(places)], flags...)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(fleet.Configure(ctx, "newsdesk", newsdesk, "guild", token)).To(Succeed())
	Expect(fleet.WaitReady(ctx, map[string]int{"wordroom": engines})).To(Succeed())
	return fleet, upstreams
}

// refusal is the JSON body of an error response.
type refusal struct {
	Error struct {
		Message string `json:"message"`
		Reason  string `json:"reason"`
		Ran     string `json:"ran"`
		Remedy  string `json:"remedy"`
	} `json:"error"`
}

// answer is a listener's response.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) decode(into any) {
	GinkgoHelper()
	Expect(json.Unmarshal(a.body, into)).To(Succeed(), string(a.body))
}

func (a *answer) refusal() refusal {
	var parsed refusal
	_ = json.Unmarshal(a.body, &parsed)
	return parsed
}

// call is one request to a listener.
type call struct {
	method string
	path   string
	body   any // encoded as JSON; []byte is sent unchanged
	header map[string]string
}

// callTimeout limits one call: a frozen VM accepts connections and never answers.
const callTimeout = 5 * time.Second

// send sends the call to a listener, IP:port. It returns an error if no complete answer
// was received.
func (c *call) send(ctx context.Context, address string) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	encoded, ok := c.body.([]byte)
	if !ok && c.body != nil {
		var err error
		if encoded, err = json.Marshal(c.body); err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+token)
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, header: response.Header, body: body}, err
}

// isDefinite reports whether the answer is final: a result, or a refusal that a resend
// would not change.
func (a *answer) isDefinite() bool {
	return a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests
}

// sendUntilDefinite sends the call to the listeners in turn, starting at index first,
// until one returns a definite answer. It may only be used for calls that are safe to
// resend.
func (c *call) sendUntilDefinite(ctx context.Context, addresses []string, first int) (*answer, error) {
	var got *answer
	err := harness.WaitFor(ctx, func(ctx context.Context) error {
		address := addresses[first%len(addresses)]
		first++
		reply, err := c.send(ctx, address)
		if err != nil {
			return err
		}
		if !reply.isDefinite() {
			return fmt.Errorf("%s answered %d: %s", address, reply.status, reply.body)
		}
		got = reply
		return nil
	})
	return got, err
}
