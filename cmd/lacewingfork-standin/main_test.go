package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a ready line with addresses that do not accept requests yet, and
// against a command that does not exit when its context ends.
func TestRunPrintsAddressesThatServe(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	toml := "[[regions]]\nname='cuyo'\n[[regions.data_centres]]\nname='mendoza'\nracks=1\nbackend_servers_per_rack=2\n"
	if err := os.WriteFile(file, []byte(toml), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- run(ctx, options{Settings: file}, writer) }()
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var got ready
	if err := json.Unmarshal(line, &got); err != nil || len(got.BackendServers) != 2 {
		t.Fatalf("got ready line %s and error %v, expected JSON with 2 backend servers", line, err)
	}
	for _, url := range []string{"http://" + got.Platform + "/control/violations", "http://" + got.BackendServers[0].Address + "/healthz"} {
		resp, err := http.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%s: got status %d, expected 200", url, resp.StatusCode)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("run: got error %v, expected none", err)
	}
}
