package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/operationsapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// drainPollInterval is the pause between two status requests to an instance that
// is stopping.
const drainPollInterval = 500 * time.Millisecond

// dutyFilter is the option that selects duties by path.
type dutyFilter struct {
	Duty string `long:"duty" description:"only duties whose path contains this text"`
}

func (f dutyFilter) path() string { return "/debug/state?duty=" + url.QueryEscape(f.Duty) }

// stateDump implements the command state dump.
type stateDump struct {
	app *app
	dutyFilter
}

// Execute implements flags.Commander.
func (c *stateDump) Execute([]string) error {
	replies, err := queryAll[json.RawMessage](c.app, c.path())
	if err != nil {
		return err
	}
	if err := c.app.printJSON(replies); err != nil {
		return err
	}
	return unreachableError(replies)
}

// stateTables implements the command state tables.
type stateTables struct {
	app *app
	dutyFilter
}

// Execute implements flags.Commander.
func (c *stateTables) Execute([]string) error {
	replies, err := queryAll[[]supervise.DutyState](c.app, c.path())
	if err != nil {
		return err
	}
	t := table{head: []string{"ADDRESS", "DUTY", "BUSY", "RING", "WHEN FULL", "DEPTH", "CAPACITY", "REFUSED", "DROPPED"}}
	for i := range replies {
		for j := range replies[i].Answer {
			duty := &replies[i].Answer[j]
			duty.State = nil
			if len(duty.Rings) == 0 {
				t.add(replies[i].Address, duty.Duty, duty.Busy, "-", "-", "-", "-", "-", "-")
			}
			for _, ring := range duty.Rings {
				t.add(replies[i].Address, duty.Duty, duty.Busy, ring.Name, ring.Policy, ring.Depth, ring.Capacity, ring.Refused, ring.Dropped)
			}
		}
	}
	if err := c.app.print(replies, t); err != nil {
		return err
	}
	return unreachableError(replies)
}

// explain implements the command explain.
type explain struct {
	app  *app
	Args idArgument `positional-args:"yes" required:"yes"`
}

// explainedEvent is an event with the address of the instance that reported it.
type explainedEvent struct {
	Address string `json:"address"`
	message.Event
}

// Execute implements flags.Commander.
func (c *explain) Execute([]string) error {
	replies, err := queryAll[[]message.Event](c.app, "/v1/explain/"+url.PathEscape(c.Args.ID))
	if err != nil {
		return err
	}
	events := []explainedEvent{}
	for i := range replies {
		if exitCodeOf(replies[i].err) == NotFound {
			replies[i].err = nil // this instance has no events for the identifier
		}
		for _, e := range replies[i].Answer {
			events = append(events, explainedEvent{replies[i].Address, e})
		}
	}
	slices.SortStableFunc(events, func(a, b explainedEvent) int { return a.At.Compare(b.At) })
	t := table{head: []string{"AT", "ADDRESS", "EVENT", "DETAIL"}}
	for _, e := range events {
		t.add(e.At.Format(time.RFC3339Nano), e.Address, e.Event.Event, detailText(e.Detail))
	}
	if err := c.app.print(events, t); err != nil {
		return err
	}
	if err := unreachableError(replies); err != nil {
		return err
	}
	if len(events) == 0 {
		return failf(NotFound, "no instance has events for %q; the history of an instance is bounded and lost when it restarts", c.Args.ID)
	}
	return nil
}

// detailText formats the detail of an event as JSON, which sorts the keys.
func detailText(detail map[string]any) string {
	if len(detail) == 0 {
		return ""
	}
	text, err := json.Marshal(detail)
	if err != nil {
		return fmt.Sprint(detail)
	}
	return string(text)
}

// drain implements the command drain.
type drain struct {
	app  *app
	Wait bool `long:"wait" description:"wait until the instance has stopped"`
	Args struct {
		Address string `positional-arg-name:"ADDRESS"`
	} `positional-args:"yes" required:"yes"`
}

// drainOutput is the JSON output of drain.
type drainOutput struct {
	Address string `json:"address"`
	Stopped bool   `json:"stopped"`
}

// Execute implements flags.Commander.
func (c *drain) Execute([]string) error {
	if err := c.app.call(http.MethodPost, c.Args.Address, "/v1/drain", nil, nil); err != nil {
		return err
	}
	if c.Wait {
		if err := c.waitUntilStopped(); err != nil {
			return err
		}
	}
	text := c.Args.Address + ": stopping"
	if c.Wait {
		text = c.Args.Address + ": stopped"
	}
	return c.app.print(drainOutput{c.Args.Address, c.Wait}, table{head: []string{text}})
}

// waitUntilStopped polls the instance until nothing listens at its address.
func (c *drain) waitUntilStopped() error {
	started := time.Now()
	defer c.app.progress("")
	for {
		var status operationsapi.Status
		err := c.app.call(http.MethodGet, c.Args.Address, "/v1/status", nil, &status)
		if errors.Is(err, errNotSent) && c.app.ctx.Err() == nil {
			return nil
		}
		c.app.progress("waiting until %s has stopped, %d s", c.Args.Address, int(time.Since(started).Seconds()))
		if !wait.For(c.app.ctx, drainPollInterval) {
			return failf(Unknown, "%s is still stopping after %v", c.Args.Address, c.app.options.Timeout)
		}
	}
}
