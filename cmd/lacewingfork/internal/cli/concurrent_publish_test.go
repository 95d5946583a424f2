package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	decided "lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/entry/configuration"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/entry/platform"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	records "lacewingfork.example/lacewingfork/records/configuration"
	"lacewingfork.example/lacewingfork/standin"
	"lacewingfork.example/lacewingfork/supervise"
)

// startInstance runs the platform duties and the configuration duty of an entry
// instance against the stand-in, and returns the ring on which a subscriber
// receives configurations. Every is the snapshot interval in publications.
func startInstance(t *testing.T, client *platformapi.Client, id fleet.InstanceID, every int) *message.ConfigurationRing {
	subscriber := supervise.NewRing[message.ConfigurationInForce]("subscriber", 1, supervise.DropOldest)
	rings := configuration.NewRings()
	rings.Rewinds = supervise.NewRing[message.Rewind]("rewinds", 1, supervise.DropOldest)
	rings.Subscribers = []*message.ConfigurationRing{subscriber}
	duties := platform.New(platform.Settings{
		Log: client, List: client, Workers: client,
		Streams: []platform.Stream{{Name: records.Stream, Folds: []*supervise.Ring[message.LogRecords]{rings.Log}, Rewinds: rings.Rewinds}},
	})
	rings.Appends = duties.Appends()
	settings := configuration.DefaultSettings(id)
	settings.SnapshotPublications, settings.SnapshotStagger = every, 10*time.Millisecond
	tree := supervise.NewTree(string(id), supervise.DefaultIntensity, func(supervise.Event) {})
	duties.Start(tree)
	tree.Start(configuration.New(settings, rings))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tree.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return subscriber
}

// Guards against concurrent publications that are both accepted, and against
// instances that apply different versions or never receive a new one.
func TestConcurrentPublications(t *testing.T) {
	platform, err := standin.Start(standin.DefaultSettings(), standin.ListenTCP)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	client, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: "http://" + platform.Address()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	first := startInstance(t, client, "entry-1", 2)
	second := startInstance(t, client, "entry-2", 1000)
	const operators, rounds = 4, 3
	for round := range rounds {
		results := make([]outcome, operators)
		var running sync.WaitGroup
		for i := range operators {
			file := writeConfiguration(t, fmt.Sprintf("[limits]\nevictions_per_minute = %d\n", 10*round+i))
			running.Go(func() { results[i] = publishAs(client, file, fmt.Sprint("operator-", i), fmt.Sprint(round)) })
		}
		running.Wait()
		winner := -1
		for i, r := range results {
			if r.code == Success && winner < 0 {
				winner = i
			} else if r.code != Rejected {
				t.Fatalf("operator %d: got %+v, want code %d, as operator %d won", i, r, Rejected, winner)
			}
		}
		for i, r := range results {
			if i != winner && !strings.Contains(r.errors, fmt.Sprintf("of operator-%d", winner)) {
				t.Errorf("operator %d: got errors %q, want operator %d named as the winner", i, r.errors, winner)
			}
		}
		for _, subscriber := range []*message.ConfigurationRing{first, second} {
			var got message.ConfigurationInForce
			select {
			case got = <-subscriber.Items():
			case <-time.After(20 * time.Second):
				t.Fatalf("round %d: an instance received no version within 20 s", round)
			}
			if got.Version != int64(round+1) || got.Value.Limits.EvictionsPerMinute != 10*round+winner {
				t.Errorf("round %d: got version %d with %+v, want version %d of operator %d", round, got.Version, got.Value.Limits, round+1, winner)
			}
		}
	}
	awaitSnapshot(t, client)
}

// publishAs runs config publish for an operator.
func publishAs(log platformapi.Log, file, operator, replaces string) outcome {
	var out, errors bytes.Buffer
	code := Run(context.Background(), []string{"--log", "x", "config", "publish", file, "--replaces", replaces, "--operator", operator}, Environment{
		Stdout: &out, Stderr: &errors, HTTP: &http.Client{}, NewID: func() string { return operator + "-" + replaces },
		OpenLog: func(string) (platformapi.Log, error) { return log, nil },
	})
	return outcome{code, out.String(), errors.String()}
}

// awaitSnapshot reads the stream until an instance has written a snapshot.
func awaitSnapshot(t *testing.T, log platformapi.Log) {
	s := &streamReader{log: log, fold: decided.NewFold()}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	// SinceSnapshot counts the publications after the newest snapshot.
	if err := s.readUntil(ctx, readPollTimeout, func(bool) bool { return s.fold.State.Version > 0 && s.fold.SinceSnapshot < 2 }); err != nil {
		t.Error("got no snapshot from any instance within 20 s:", err)
	}
}
