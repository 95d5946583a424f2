package scheduler

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/settings"
	"lacewingfork.example/lacewingfork/supervise"
)

// Reload reads the settings again. Its error lists the findings.
type Reload func() (settings.Settings, error)

// startReload adds the duty that handles SIGHUP: it reads and validates the
// settings and logs which sections have changed. Changes take effect at the
// next start, because every section holds sockets, identities or bounds that
// other duties and instances rely on. When the duty fails it is restarted; a
// signal received in between is lost.
func startReload(root *supervise.Tree, reload Reload, current settings.Settings, lines *logs.Log) {
	if reload == nil {
		return
	}
	root.Child("settings", supervise.DefaultIntensity).Start(supervise.Duty{
		Name: "reload",
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGHUP)
			defer signal.Stop(signals)
			for {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-signals:
					reloadSettings(reload, current, lines)
				case r := <-dumps:
					r.Answer(current)
				}
			}
		},
	})
}

func reloadSettings(reload Reload, current settings.Settings, lines *logs.Log) {
	next, err := reload()
	if err != nil {
		lines.Event("settings_rejected", "error", err)
		return
	}
	lines.Event("settings_reloaded", "changed", changedSections(current, next), "in_force", "at the next start")
}

// changedSections returns the names of the sections in which two settings
// differ.
func changedSections(before, after settings.Settings) []string {
	changed := []string{}
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			changed = append(changed, a.Type().Field(i).Name)
		}
	}
	return changed
}
