package demo

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Print writes the report as a table.
func (r Report) Print(out io.Writer) {
	sent := 0
	for _, n := range r.Load.Outcomes {
		sent += n
	}
	millis := func(quantile float64) float64 { return float64(r.Load.Latencies.ValueAtQuantile(quantile)) / 1000 }
	rows := []struct {
		name  string
		value any
	}{
		{"sent", sent},
		{"answered", r.Load.Outcomes[outcomeAnswered]},
		{"refused as not run", r.formatOutcome(outcomeRefused)},
		{"outcome unknown", r.formatOutcome(outcomeUnknown)},
		{"failed at the backend server", r.Load.Outcomes[outcomeFailed]},
		{"wrong answers", r.Load.Outcomes[outcomeWrong]},
		{"refused but run", r.RefusedButRun},
		{"answered but not run", r.LostBookings},
		{"bookings run twice", r.Violations.KeysRunAgain},
		{"tasks in two places", r.Violations.TasksInTwoPlaces},
		{"checkpoints resumed twice", r.Violations.CheckpointsResumedAgain},
		{"slots over capacity", r.Violations.SlotsOverCapacity},
		{"connections over capacity", r.Violations.ConnectionsOverCapacity},
		{"work on leaving servers", r.Violations.WorkOnLeaving},
		{"p50", fmt.Sprintf("%.1f ms", millis(50))},
		{"p99", fmt.Sprintf("%.1f ms", millis(99))},
		{"batch tasks finished", fmt.Sprintf("%d of %d", r.TasksFinished, batchJobs*tasksPerJob)},
	}
	for _, row := range rows {
		fmt.Fprintf(out, "%-30s %v\n", row.name, row.value)
	}
	if r.StopErr != nil {
		fmt.Fprintf(out, "%-30s %v\n", "planned stop", r.StopErr)
	}
}

// formatOutcome returns the number of requests with an outcome, followed by the
// number for each reason in parentheses.
func (r Report) formatOutcome(outcome string) string {
	total := 0
	var reasons []string
	for name, n := range r.Load.Outcomes {
		if reason, found := strings.CutPrefix(name, outcome+reasonSeparator); found {
			total += n
			reasons = append(reasons, fmt.Sprintf("%s %d", reason, n))
		}
	}
	slices.Sort(reasons)
	total += r.Load.Outcomes[outcome]
	if len(reasons) == 0 {
		return strconv.Itoa(total)
	}
	return fmt.Sprintf("%d (%s)", total, strings.Join(reasons, ", "))
}

// FailedChecks describes the guarantees that did not hold; it is empty if all did.
func (r Report) FailedChecks() []string {
	var failed []string
	for _, check := range []struct {
		violated bool
		text     string
	}{
		{r.Load.Outcomes[outcomeWrong] > 0, "a caller got a partial answer or that of another request"},
		{r.RefusedButRun > 0, "a request that was refused as not run had run"},
		{r.LostBookings > 0, "an answered booking never ran"},
		{r.Violations.KeysRunAgain > 0, "a booking ran twice"},
		{r.Violations.TasksInTwoPlaces > 0, "a task ran in two places"},
		{r.Violations.CheckpointsResumedAgain > 0, "evicted work was resumed twice"},
		{r.Violations.SlotsOverCapacity > 0 || r.Violations.ConnectionsOverCapacity > 0, "a backend server got more work than its capacity"},
		{r.Violations.WorkOnLeaving > 0, "a leaving backend server got new work"},
		{r.TasksFinished < batchJobs*tasksPerJob, "batch tasks did not finish"},
		{r.StopErr != nil, "a planned stop was not graceful"},
	} {
		if check.violated {
			failed = append(failed, check.text)
		}
	}
	return failed
}
