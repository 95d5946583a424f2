package platformapi_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCall makes calls with short responses and reports the bytes in both
// directions, without TCP and IP headers. The time includes a server in the same
// process that sends fixed responses.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		switch {
		case r.Header.Get("If-None-Match") != "":
			w.Header().Set(platformapi.HeaderListAge, "1234")
			w.WriteHeader(http.StatusNotModified)
		case r.URL.Path == "/v1/instances":
			w.Header().Set("ETag", `"18a2b3c4d5e6f708-1234"`)
			_, _ = w.Write([]byte(`{}`))
		default:
			_, _ = w.Write([]byte(`{"oldest":1,"next":1048576,"end":1048576,"offset":1048576,"records":[]}`))
		}
	}))
	b.Cleanup(server.Close)
	var bytes atomic.Int64
	client, err := platformapi.NewClient(platformapi.ClientSettings{
		BaseURL: server.URL,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &bytes}, err
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(client.Close)
	const worker = "la-plata-rack-017-server-3"
	for _, c := range []struct {
		name string
		call func(context.Context) error
	}{
		{"renew", func(ctx context.Context) error {
			return client.Renew(ctx, worker, "la-plata/rack-017", 300, 15*time.Second)
		}},
		{"start", func(ctx context.Context) error {
			return client.Start(ctx, worker, platformapi.StartTask{
				Task: "regrind-2026-12-04-000123/17", Attempt: 1, Partition: "la-plata/rack-017", Epoch: 300, Class: "full-regrind",
				Resources: fleet.Resources{Slots: 1, MilliCPU: 2000, MemoryMiB: 8000}, RunMillis: 3_600_000, Parameters: "batch=17", LeaseMillis: 15_000,
			})
		}},
		{"append", func(ctx context.Context) error {
			_, err := client.Append(ctx, "tasks.pampeana", make([]byte, 512))
			return err
		}},
		{"read", func(ctx context.Context) error {
			_, err := client.Read(ctx, "tasks.pampeana", 1_048_576, 0)
			return err
		}},
		{"list-unchanged", func(ctx context.Context) error { _, err := client.List(ctx); return err }},
	} {
		b.Run(c.name, func(b *testing.B) {
			if err := c.call(b.Context()); err != nil {
				b.Fatal(err)
			}
			before := bytes.Load()
			for b.Loop() {
				if err := c.call(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes")
		})
	}
}
