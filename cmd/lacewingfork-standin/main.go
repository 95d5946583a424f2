// Command lacewingfork-standin runs the stand-in for the platform and the
// backend servers. An operator or the demo starts it. It runs one
// standin.StandIn until SIGINT or SIGTERM; all state is lost when it exits.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"lacewingfork.example/lacewingfork/standin"
)

// options holds the command line flags.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file in TOML; without it, the defaults apply"`
	Listen   string `long:"listen" value-name:"HOST:PORT" description:"address to listen on instead of listen in the settings; with port 0 the kernel chooses the port"`
}

// ready is the JSON line that is printed once every listener is open.
type ready struct {
	Event          string                 `json:"event"`
	Platform       string                 `json:"platform"`
	BackendServers []standin.BackendStats `json:"backend_servers"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until the context ends.
func run(ctx context.Context, o options, out io.Writer) error {
	settings := standin.DefaultSettings()
	if o.Settings != "" {
		var err error
		if settings, err = standin.LoadSettings(o.Settings); err != nil {
			return err
		}
	}
	if o.Listen != "" {
		settings.Listen = o.Listen
	}
	s, err := standin.Start(settings, standin.ListenTCP)
	if err != nil {
		return err
	}
	defer s.Close()
	line := ready{Event: "ready", Platform: s.Address(), BackendServers: s.BackendServers()}
	if err := json.NewEncoder(out).Encode(line); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
