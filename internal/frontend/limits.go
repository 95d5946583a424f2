package frontend

import (
	"time"

	"golang.org/x/sys/unix"

	"lacewingfork.example/lacewingfork/decision/intake"
)

const (
	// reservedDescriptors of an instance are for files.
	reservedDescriptors = 200
	// connectionShare is the part of the other descriptors that clients may use. The
	// rest is for the store, the peers and the workers.
	connectionShare = 2.0 / 3
	// connectionBytes is what a connection with the longest header holds: the
	// header, the buffers and the stacks of net/http. connectionMemory is the part of
	// the memory that connections may use, so that 184 MB allow 1,472 of them: 23
	// machines with 64 connections each.
	connectionBytes  = 32 << 10
	connectionMemory = 1.0 / 4
	// bodyMemory is the part of the memory that bodies may use: 23 MB of 184 MB,
	// which 100 bodies of 262,144 bytes a second fill if each stays for 0.9 s. What is
	// decoded from bodies and the garbage of both are a multiple of it.
	bodyMemory = 1.0 / 8
	// reservedShare is the part of the bytes that only ordinary bodies use.
	reservedShare = 1.0 / 4
	// ordinaryBytes is above nearly all jobs of the deployments, which have a few
	// kilobytes. ordinaryTime is below the 3 s after which callers give up.
	ordinaryBytes = 64 << 10
	ordinaryTime  = 2 * time.Second
	// rateGrace is above the time after which callers give up.
	rateGrace = 5 * time.Second
)

// Limits are the limits of a front end.
type Limits struct {
	intake.Limits
	// WriteTimeout bounds the time of writing a response.
	WriteTimeout time.Duration
}

// Settings are the limits that an operator may set. The zero value of Connections
// and Bytes stands for a value derived from the instance's size.
type Settings struct {
	Connections  int
	Bytes        int64
	BodyTime     time.Duration
	BodyRate     int64 // bytes a second
	WriteTimeout time.Duration
}

// NewLimits returns the limits for an instance with the given memory, in bytes, and
// number of descriptors.
func NewLimits(s Settings, memory int64, descriptors uint64) Limits {
	if s.Connections == 0 {
		free := float64(descriptors) - reservedDescriptors
		byMemory := float64(memory) * connectionMemory / connectionBytes
		s.Connections = int(max(1, min(free*connectionShare, byMemory)))
	}
	if s.Bytes == 0 {
		s.Bytes = int64(float64(memory) * bodyMemory)
	}
	return Limits{
		WriteTimeout: s.WriteTimeout,
		Limits: intake.Limits{
			Connections: s.Connections, Bytes: s.Bytes, ReservedBytes: int64(float64(s.Bytes) * reservedShare),
			OrdinaryBytes: ordinaryBytes, OrdinaryTime: ordinaryTime,
			BodyTime: s.BodyTime, MinRate: s.BodyRate, RateGrace: rateGrace,
		},
	}
}

// leastDescriptors is the least number of descriptors of an instance. A platform may
// bound them otherwise than by the limit of the process.
const leastDescriptors = 4100

// Descriptors returns how many descriptors this process may open: its limit, or
// leastDescriptors if that is lower.
func Descriptors() uint64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return leastDescriptors
	}
	return min(limit.Cur, leastDescriptors)
}
