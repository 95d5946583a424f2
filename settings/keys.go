package settings

import (
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/findings/tomlfile"
)

// Section is one table of the settings file with its keys.
type Section struct {
	Name string
	Keys []tomlfile.Key[Settings]
}

const (
	nameRange   = "lower-case letters, digits, - and ., at most 63"
	listenRange = "IP:port, where port 0 selects a free port"
	urlRange    = "http://IP:port without a path"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
)

// Sections returns every setting. It is the single source of defaults, ranges and
// units; a test compares docs/OPERATIONS.md with it.
func Sections() []Section { return slices.Clone(sections) }

var sections = []Section{
	{Name: "instance", Keys: []tomlfile.Key[Settings]{
		{
			Name: "id", Description: "identifier of this entry instance, unique in the deployment",
			Required: true, Range: nameRange, Valid: namePattern.MatchString,
			Field: func(s *Settings) any { return &s.Instance.ID },
		},
		{
			Name: "region", Description: "region that the instance is in",
			Required: true, Range: nameRange, Valid: namePattern.MatchString,
			Field: func(s *Settings) any { return &s.Instance.Region },
		},
		{
			Name: "data_centre", Description: "data centre that the instance is in",
			Required: true, Range: nameRange, Valid: namePattern.MatchString,
			Field: func(s *Settings) any { return &s.Instance.DataCentre },
		},
	}},
	{Name: "listen", Keys: []tomlfile.Key[Settings]{
		{
			Name: "callers", Description: "listen address for callers (HTTP)",
			Required: true, Range: listenRange, Valid: isListenAddress,
			Field: func(s *Settings) any { return &s.Listen.Callers },
		},
		{
			Name: "peers", Description: "listen address for other entry instances (drpc)",
			Required: true, Range: listenRange, Valid: isListenAddress,
			Field: func(s *Settings) any { return &s.Listen.Peers },
		},
		{
			Name: "operations", Description: "listen address for metrics, state dump and readiness (HTTP)",
			Required: true, Range: listenRange, Valid: isListenAddress,
			Field: func(s *Settings) any { return &s.Listen.Operations },
		},
		{
			Name: "advertise_peers", Description: "address that other entry instances dial; empty means the bound address of `peers`, port 0 its bound port",
			Default: "", Range: "empty or IP:port with a specified IP", Valid: isAdvertisedAddress,
			Field: func(s *Settings) any { return &s.Listen.AdvertisePeers },
		},
	}},
	{Name: "platform", Keys: []tomlfile.Key[Settings]{
		{
			Name: "log", Description: "base URL of the log service",
			Required: true, Range: urlRange, Valid: isBaseURL,
			Field: func(s *Settings) any { return &s.Platform.Log },
		},
		{
			Name: "list", Description: "base URL of the instance list",
			Required: true, Range: urlRange, Valid: isBaseURL,
			Field: func(s *Settings) any { return &s.Platform.List },
		},
		{
			Name: "workers", Description: "base URL of the workers' interface",
			Required: true, Range: urlRange, Valid: isBaseURL,
			Field: func(s *Settings) any { return &s.Platform.Workers },
		},
	}},
	{Name: "lease", Keys: []tomlfile.Key[Settings]{
		{
			Name: "ttl", Description: "duration of a lease on partitions without renewal; the same in the whole region",
			Default: 4 * time.Second, Min: time.Second, Max: time.Minute,
			Field: func(s *Settings) any { return &s.Lease.TTL },
		},
		{
			Name: "list_lag", Description: "bound on the lag of the platform's instance list; the same in the whole region",
			Default: 2 * time.Second, Min: 100 * time.Millisecond, Max: time.Minute,
			Field: func(s *Settings) any { return &s.Lease.ListLag },
		},
		{
			Name: "list_age", Description: "age, including the lag, at which a snapshot of the list becomes stale; the same in the whole region",
			Default: 4 * time.Second, Min: 100 * time.Millisecond, Max: time.Minute,
			Field: func(s *Settings) any { return &s.Lease.ListAge },
		},
		{
			Name: "margin", Description: "allowance for drift between two clocks; at most a quarter of `ttl`",
			Default: 200 * time.Millisecond, Min: 10 * time.Millisecond, Max: 10 * time.Second,
			Field: func(s *Settings) any { return &s.Lease.Margin },
		},
	}},
	{Name: "limits", Keys: limitKeys},
	{Name: "process", Keys: []tomlfile.Key[Settings]{
		{
			Name: "stop_timeout", Description: "time limit of a graceful stop; the longest deadline plus time for the handover",
			Default: 75 * time.Second, Min: time.Second, Max: 10 * time.Minute,
			Field: func(s *Settings) any { return &s.Process.StopTimeout },
		},
		{
			Name: "log_level", Description: "lowest severity that is written to the log",
			Default: "info", Range: strings.Join(logLevels, ", "),
			Valid: func(text string) bool { return slices.Contains(logLevels, text) },
			Field: func(s *Settings) any { return &s.Process.LogLevel },
		},
	}},
}

var limitKeys = []tomlfile.Key[Settings]{
	{
		Name: "body_bytes", Description: "largest body of a request", Unit: "bytes",
		Default: 1 << 20, Min: 1, Max: 1 << 20,
		Field: func(s *Settings) any { return &s.Limits.BodyBytes },
	},
	{
		Name: "header_bytes", Description: "largest header of a request", Unit: "bytes",
		Default: 16 << 10, Min: 1 << 10, Max: 64 << 10,
		Field: func(s *Settings) any { return &s.Limits.HeaderBytes },
	},
	{
		Name: "max_deadline", Description: "longest deadline of a request, regardless of the configuration",
		Default: time.Minute, Min: 100 * time.Millisecond, Max: time.Minute,
		Field: func(s *Settings) any { return &s.Limits.MaxDeadline },
	},
	{
		Name: "connection_max_age", Description: "age at which a pooled connection is replaced",
		Default: time.Minute, Min: time.Second, Max: time.Hour,
		Field: func(s *Settings) any { return &s.Limits.ConnectionMaxAge },
	},
	{
		Name: "explanation_history", Description: "events kept for `lacewingfork explain`", Unit: "events",
		Default: 8192, Min: 1024, Max: 1 << 16,
		Field: func(s *Settings) any { return &s.Limits.ExplanationHistory },
	},
	{
		Name: "connections", Description: "open connections of callers; 0: two thirds of the descriptors beyond 200, of at most 4100, and at most 2048", Unit: "connections",
		Default: 0, Min: 0, Max: 1 << 20,
		Field: func(s *Settings) any { return &s.Limits.Connections },
	},
	{
		// Each of the 6 other instances applies the same bound to the requests that it
		// forwards, so an instance holds at most 7 times the default: 168 MiB of 256.
		Name: "body_mib", Description: "bodies of all requests that are not answered; a quarter of it is reserved for bodies of at most 64 KiB that began less than 2 s ago or are complete", Unit: "MiB",
		Default: 24, Min: 2, Max: 1 << 20,
		Field: func(s *Settings) any { return &s.Limits.BodyMiB },
	},
	{
		Name: "body_time", Description: "longest time in which a body arrives",
		Default: 30 * time.Second, Min: time.Second, Max: time.Hour,
		Field: func(s *Settings) any { return &s.Limits.BodyTime },
	},
	{
		Name: "body_rate", Description: "least average rate of a body after its first 5 s; 0: any", Unit: "bytes a second",
		Default: 256, Min: 0, Max: 1 << 30,
		Field: func(s *Settings) any { return &s.Limits.BodyRate },
	},
	{
		Name: "header_time", Description: "longest time in which a header arrives",
		Default: 5 * time.Second, Min: time.Second, Max: time.Hour,
		Field: func(s *Settings) any { return &s.Limits.HeaderTime },
	},
	{
		Name: "idle_time", Description: "longest time between two requests on a connection; above the 60 s of the package `caller`",
		Default: 90 * time.Second, Min: time.Second, Max: time.Hour,
		Field: func(s *Settings) any { return &s.Limits.IdleTime },
	},
	{
		Name: "response_time", Description: "longest time in which a caller reads a response",
		Default: 30 * time.Second, Min: time.Second, Max: time.Hour,
		Field: func(s *Settings) any { return &s.Limits.ResponseTime },
	},
}

func isListenAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isAdvertisedAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return text == "" || err == nil && !address.Addr().IsUnspecified()
}

func isBaseURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.User != nil {
		return false
	}
	_, port, err := net.SplitHostPort(u.Host)
	address, addressErr := netip.ParseAddrPort(u.Host)
	return err == nil && port != "0" && addressErr == nil && !address.Addr().IsUnspecified()
}
