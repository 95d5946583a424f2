// Command lacewingfork is the command line for operators. It runs one command,
// exits with one of the exit codes of package cli and stores nothing.
package main

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"lacewingfork.example/lacewingfork/cmd/lacewingfork/internal/cli"
	"lacewingfork.example/lacewingfork/platformapi"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(cli.Run(ctx, os.Args[1:], cli.Environment{
		Stdout: os.Stdout, Stderr: os.Stderr, Terminal: isTerminal(os.Stderr),
		OpenLog: func(baseURL string) (platformapi.Log, error) {
			return platformapi.NewClient(platformapi.ClientSettings{BaseURL: baseURL})
		},
		HTTP: &http.Client{}, NewID: rand.Text,
	}))
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
