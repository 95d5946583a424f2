package settings

import (
	"time"

	"lacewingfork.example/lacewingfork/findings/tomlfile"
)

// callersKeys are the limits on callers. The defaults are beyond what the platform
// documents for its clients: a header within 3 s, 15 s between requests, a response
// within 3 s.
var callersKeys = []tomlfile.Key[Settings]{
	{
		Name: "connections", Description: "open connections of callers; 0: two thirds of the descriptors beyond 200, of at most 4100, and at most one for each 128 KiB of `memory_mib`",
		Unit: "connections", Default: 0, Min: 0, Max: 1 << 20, Field: func(s *Settings) any { return &s.Callers.Connections },
	},
	{
		Name: "body_mib", Description: "bodies of all calls that are not answered; a quarter of it is reserved for bodies of at most 64 KiB that began less than 2 s ago or are complete; 0: an eighth of `memory_mib`",
		Unit: "MiB", Default: 0, Min: 0, Max: 1 << 20, Field: func(s *Settings) any { return &s.Callers.BodyMiB },
	},
	{
		Name: "body_time", Description: "longest time in which a body arrives",
		Default: 30 * time.Second, Min: time.Second, Max: time.Hour, Field: func(s *Settings) any { return &s.Callers.BodyTime },
	},
	{
		Name: "body_rate", Description: "least average rate of a body after its first 5 s; 0: any",
		Unit: "bytes a second", Default: 256, Min: 0, Max: 1 << 30, Field: func(s *Settings) any { return &s.Callers.BodyRate },
	},
	{
		Name: "header_time", Description: "longest time in which a header arrives",
		Default: 5 * time.Second, Min: time.Second, Max: time.Hour, Field: func(s *Settings) any { return &s.Callers.HeaderTime },
	},
	{
		Name: "idle_time", Description: "longest time between two calls on a connection",
		Default: 30 * time.Second, Min: time.Second, Max: time.Hour, Field: func(s *Settings) any { return &s.Callers.IdleTime },
	},
	{
		Name: "response_time", Description: "longest time in which a caller reads a response",
		Default: 10 * time.Second, Min: time.Second, Max: time.Hour, Field: func(s *Settings) any { return &s.Callers.ResponseTime },
	},
}
