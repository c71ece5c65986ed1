package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/urfave/cli/v3"

	"slateway.example/slateway/internal/telemetry"
)

// announcementsMeasured is the number of announcements sent over one connection, as
// an upstream sends them.
const announcementsMeasured = 1000

// measureAnnouncement measures the bytes of one announcement at a gate: the
// upstream's JSON and the HTTP headers of both directions, on a reused connection.
func measureAnnouncement(ctx context.Context, _ *cli.Command) error {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	metrics := telemetry.NewMetrics()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"interval_ms":1000}`)
	})}
	go func() { _ = server.Serve(metrics.CountListener("announce", socket)) }() // returns on Close
	defer func() { _ = server.Close() }()
	body, err := json.Marshal(replicaRecord(1))
	if err != nil {
		return err
	}
	for range announcementsMeasured {
		if err := post(ctx, "http://"+socket.Addr().String()+"/v1/upstreams/announce", body); err != nil {
			return err
		}
	}
	in := float64(metrics.Value("announce"+telemetry.BytesInSuffix)) / announcementsMeasured
	out := float64(metrics.Value("announce"+telemetry.BytesOutSuffix)) / announcementsMeasured
	fmt.Printf("\n### One announcement\n\nbody %d B, in %.0f B, out %.0f B\n", len(body), in, out)
	return nil
}

func post(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
