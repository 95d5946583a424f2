// Command lacewingfork-load compares the latency of requests through an entry
// instance with that of direct requests to a backend server, at the same rate in
// the same run. It sends requests to loopback addresses only.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"lacewingfork.example/lacewingfork/load"
)

type options struct {
	Entry     string `long:"entry" value-name:"HOST:PORT" required:"true" description:"callers' address of an entry instance"`
	Direct    string `long:"direct" value-name:"HOST:PORT" required:"true" description:"address of a backend server"`
	Service   string `long:"service" default:"stitch-planner" description:"service to call"`
	Operation string `long:"operation" default:"layout" description:"operation to call"`
	Rate      int    `long:"rate" default:"2000" description:"requests per second to each target"`
	Seconds   int    `long:"seconds" default:"5" description:"seconds for each target in each round"`
	Rounds    int    `long:"rounds" default:"3" description:"rounds; each measures both targets one after the other"`
	RunMS     int    `long:"run-ms" default:"1" description:"run time at the backend server in milliseconds"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run measures both targets in each round and prints the comparison.
func run(o options, out io.Writer) error {
	for _, address := range []string{o.Entry, o.Direct} {
		host, _, err := net.SplitHostPort(address)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return errors.Errorf("invalid address %q, expected a loopback address and a port", address)
		}
	}
	direct := target{name: "direct", url: fmt.Sprintf("http://%s/run/%s/%s", o.Direct, o.Service, o.Operation)}
	entry := target{name: "entry", url: fmt.Sprintf("http://%s/v1/services/%s/%s", o.Entry, o.Service, o.Operation)}
	for round := range o.Rounds {
		d, e := direct.measure(o), entry.measure(o)
		fmt.Fprintf(out, "round %d\n", round+1)
		printResult(out, direct.name, d)
		printResult(out, entry.name, e)
		fmt.Fprintf(out, "  added: median %.3f ms, p99 %.3f ms; ratio of medians %.2f\n",
			added(d, e, 50), added(d, e, 99),
			float64(e.Latencies.ValueAtQuantile(50))/float64(d.Latencies.ValueAtQuantile(50)))
	}
	return nil
}

// target is a URL under measurement.
type target struct{ name, url string }

// measure sends requests to the target at a constant rate.
func (t target) measure(o options) load.Result {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	return load.Run(context.Background(), load.Plan{
		Rate: o.Rate, Duration: time.Duration(o.Seconds) * time.Second, Workers: 128,
		Do: func(ctx context.Context, n int) string {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, bytes.NewReader([]byte("panel")))
			if err != nil {
				return "malformed"
			}
			request.Header.Set("Lacewingfork-Request-Id", fmt.Sprintf("load-%s-%d", t.name, n))
			request.Header.Set("Lacewingfork-Simulated-Run-Ms", fmt.Sprint(o.RunMS))
			response, err := client.Do(request)
			if err != nil {
				return "no response"
			}
			defer func() { _ = response.Body.Close() }()
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return "response cut off"
			}
			return fmt.Sprint(response.StatusCode)
		},
	})
}

// printResult prints latencies and outcomes.
func printResult(out io.Writer, name string, r load.Result) {
	fmt.Fprintf(out, "  %-6s median %.3f ms, p99 %.3f ms, outcomes %v\n", name, millis(r, 50), millis(r, 99), r.Outcomes)
}

// millis returns the latency at a quantile (0 to 100) in milliseconds.
func millis(r load.Result, quantile float64) float64 {
	return float64(r.Latencies.ValueAtQuantile(quantile)) / 1000
}

// added returns the latency that the entry instance adds at a quantile (0 to
// 100), in milliseconds.
func added(direct, entry load.Result, quantile float64) float64 {
	return millis(entry, quantile) - millis(direct, quantile)
}
