package configuration

import (
	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/findings/tomlfile"
	"lacewingfork.example/lacewingfork/fleet"
)

type (
	region    = configuration.Region
	service   = configuration.Service
	operation = configuration.Operation
	team      = configuration.Team
	batchKind = configuration.BatchKind
	limits    = configuration.Limits
)

// The lists below define every key of a configuration file with its type and
// default. Their ranges are descriptions only: configuration.Check checks the
// values, because the operators' library uses it as well.

var regionKeys = []tomlfile.Key[region]{
	{
		Name: "name", Description: "name of the region", Required: true, Range: configuration.NameRange,
		Field: func(r *region) any { return &r.Name },
	},
	{
		Name: "data_centres", Description: "data centres of the region", Required: true,
		Range: "at least one, each in one region only",
		Field: func(r *region) any { return &r.DataCentres },
	},
}

var serviceKeys = []tomlfile.Key[service]{
	{
		Name: "name", Description: "name of the service", Required: true, Range: configuration.NameRange,
		Field: func(s *service) any { return &s.Name },
	},
	{
		Name: "regions", Description: "regions whose backend servers run the service; missing means all",
		Range: "names of `[[region]]` tables",
		Field: func(s *service) any { return &s.Regions },
	},
}

var operationKeys = []tomlfile.Key[operation]{
	{
		Name: "name", Description: "name of the operation", Required: true, Range: configuration.NameRange,
		Field: func(o *operation) any { return &o.Name },
	},
	{
		Name: "class", Description: "urgency of the operation, by how long its callers can wait", Required: true,
		Range: "urgent, normal or batch", Parse: parseClass,
	},
	{
		Name: "idempotent", Description: "whether the operation may run more than once for one request", Default: false,
		Field: func(o *operation) any { return &o.Idempotent },
	},
	{
		Name: "deadline", Description: "default deadline of requests that specify none", Required: true,
		Range: configuration.DeadlineRange.String() + ", at most `limits.max_deadline`",
		Field: func(o *operation) any { return &o.Deadline },
	},
	{
		Name: "expected_run_time", Description: "run time assumed until runs are observed", Required: true,
		Range: configuration.RunTimeRange.String() + ", at most the deadline",
		Field: func(o *operation) any { return &o.ExpectedRunTime },
	},
}

var teamKeys = []tomlfile.Key[team]{
	{
		Name: "name", Description: "name of the team", Required: true, Range: configuration.NameRange,
		Field: func(t *team) any { return &t.Name },
	},
	{
		Name: "share", Description: "fraction of the slots guaranteed to the team; other teams may borrow idle shares", Default: 0.0,
		Range: configuration.ShareRange.String() + ", at most 1 for all teams together",
		Field: func(t *team) any { return &t.Share },
	},
	{
		Name: "max_jobs", Description: "limit on waiting and running jobs of the team", Unit: "jobs", Default: 1000,
		Range: configuration.MaxJobsRange.String(),
		Field: func(t *team) any { return &t.MaxJobs },
	},
}

var kindKeys = []tomlfile.Key[batchKind]{
	{
		Name: "name", Description: "name of the kind of batch work", Required: true, Range: configuration.NameRange,
		Field: func(k *batchKind) any { return &k.Name },
	},
	{
		Name: "expected_run_time", Description: "run time of a task assumed until runs are observed", Required: true,
		Range: configuration.BatchRunTimeRange.String(),
		Field: func(k *batchKind) any { return &k.ExpectedRunTime },
	},
	{
		Name: "slots", Description: "default slots of a task whose job specifies none", Unit: "slots", Default: 1,
		Range: configuration.SlotsRange.String(),
		Field: func(k *batchKind) any { return &k.Resources.Slots },
	},
	{
		Name: "milli_cpu", Description: "processor time of a task", Unit: "thousandths of a core", Default: 0,
		Range: configuration.MilliCPURange.String(),
		Field: func(k *batchKind) any { return &k.Resources.MilliCPU },
	},
	{
		Name: "memory_mib", Description: "memory of a task", Unit: "MiB", Default: 0,
		Range: configuration.MemoryMiBRange.String(),
		Field: func(k *batchKind) any { return &k.Resources.MemoryMiB },
	},
	{
		Name: "accelerators", Description: "accelerators of a task", Unit: "accelerators", Default: 0,
		Range: configuration.AcceleratorsRange.String(),
		Field: func(k *batchKind) any { return &k.Resources.Accelerators },
	},
}

var limitKeys = []tomlfile.Key[limits]{
	{
		Name: "max_deadline", Description: "longest deadline that a caller may specify",
		Default: configuration.DefaultLimits.MaxDeadline, Range: configuration.MaxDeadlineRange.String(),
		Field: func(l *limits) any { return &l.MaxDeadline },
	},
	{
		Name: "long_share", Description: "fraction of each backend server's slots that long work may hold",
		Default: configuration.DefaultLimits.LongShare, Range: configuration.ShareRange.String(),
		Field: func(l *limits) any { return &l.LongShare },
	},
	{
		Name: "long_run_time", Description: "run time above which work counts as long",
		Default: configuration.DefaultLimits.LongRunTime, Range: configuration.LongRunTimeRange.String(),
		Field: func(l *limits) any { return &l.LongRunTime },
	},
	{
		Name: "evictions_per_minute", Description: "limit on evictions in a partition", Unit: "evictions a minute",
		Default: configuration.DefaultLimits.EvictionsPerMinute, Range: configuration.EvictionsRange.String(),
		Field: func(l *limits) any { return &l.EvictionsPerMinute },
	},
	{
		Name: "region_bytes_per_second", Description: "limit on the traffic of one instance to other regions", Unit: "bytes a second",
		Default: configuration.DefaultLimits.RegionBytesPerSecond, Range: configuration.RegionBytesRange.String(),
		Field: func(l *limits) any { return &l.RegionBytesPerSecond },
	},
}

func parseClass(o *operation, text string) bool {
	class, ok := fleet.ParseClass(text)
	o.Class = class
	return ok
}

// Section describes one table of a configuration file, with its keys in
// Markdown.
type Section struct{ Heading, Markdown string }

// Sections returns the description of every table for the documentation.
func Sections() []Section {
	return []Section{
		{"[[region]]", tomlfile.Markdown("", regionKeys)},
		{"[[service]]", tomlfile.Markdown("", serviceKeys)},
		{"[[service.operation]]", tomlfile.Markdown("", operationKeys)},
		{"[[team]]", tomlfile.Markdown("", teamKeys)},
		{"[[kind]]", tomlfile.Markdown("", kindKeys)},
		{"[limits]", tomlfile.Markdown("", limitKeys)},
	}
}
