package configuration

import (
	"cmp"
	"fmt"

	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
)

// Check returns all findings about an invalid configuration. Their keys are
// paths such as "service[0].operation[1].deadline"; the caller sets file and
// line.
func Check(c *Configuration) findings.List {
	var k checker
	k.regions(c)
	for i := range c.Services {
		k.service(fmt.Sprintf("service[%d]", i), &c.Services[i], c)
	}
	k.teams(c.Teams)
	k.kinds(c.Kinds)
	k.limits(&c.Limits)
	k.names("service", len(c.Services), func(i int) string { return string(c.Services[i].Name) })
	return k.list
}

// checker collects the findings about one configuration.
type checker struct{ list findings.List }

func (k *checker) add(key, problem, expected string) {
	k.list.Add(findings.Finding{Key: key, Problem: problem, Expected: expected})
}

// names checks the names of the tables of an array and their number.
func (k *checker) names(array string, count int, name func(int) string) {
	if count > maxTables {
		k.add(array, fmt.Sprintf("has %d tables", count), fmt.Sprintf("at most %d", maxTables))
	}
	first := make(map[string]int, count)
	for i := range count {
		key := fmt.Sprintf("%s[%d].name", array, i)
		if !namePattern.MatchString(name(i)) {
			k.add(key, fmt.Sprintf("is %q", name(i)), NameRange)
			continue
		}
		if earlier, taken := first[name(i)]; taken {
			k.add(key, fmt.Sprintf("%q is also the name of %s[%d]", name(i), array, earlier), "a unique name")
			continue
		}
		first[name(i)] = i
	}
}

// inRange reports whether a value is in its range, and adds a finding if it isn't.
// It is a function because methods can't have type parameters.
func inRange[T cmp.Ordered](k *checker, key string, value T, r Range[T]) bool {
	if r.Contains(value) {
		return true
	}
	k.add(key, fmt.Sprintf("is %v", value), r.String())
	return false
}

func (k *checker) regions(c *Configuration) {
	k.names("region", len(c.AllRegions), func(i int) string { return string(c.AllRegions[i].Name) })
	regionOf := map[fleet.DataCentre]fleet.Region{}
	for i, region := range c.AllRegions {
		key := fmt.Sprintf("region[%d].data_centres", i)
		if len(region.DataCentres) == 0 {
			k.add(key, "is empty", "at least one data centre")
		}
		for _, dataCentre := range region.DataCentres {
			if !namePattern.MatchString(string(dataCentre)) {
				k.add(key, fmt.Sprintf("contains %q", dataCentre), NameRange)
			}
			if other, taken := regionOf[dataCentre]; taken {
				k.add(key, fmt.Sprintf("contains %q, which region %q contains too", dataCentre, other), "each data centre once")
			}
			regionOf[dataCentre] = region.Name
		}
	}
}

func (k *checker) service(path string, s *Service, c *Configuration) {
	seen := map[fleet.Region]bool{}
	for _, name := range s.Regions {
		if !c.hasRegion(name) {
			k.add(path+".regions", fmt.Sprintf("names region %q", name), "regions that have a [[region]] table")
		}
		if seen[name] {
			k.add(path+".regions", fmt.Sprintf("names region %q twice", name), "each region once")
		}
		seen[name] = true
	}
	if len(s.Operations) == 0 {
		k.add(path+".operation", "is missing", "at least one operation")
	}
	k.names(path+".operation", len(s.Operations), func(i int) string { return string(s.Operations[i].Name) })
	for i := range s.Operations {
		k.operation(fmt.Sprintf("%s.operation[%d]", path, i), &s.Operations[i], &c.Limits)
	}
}

func (c *Configuration) hasRegion(name fleet.Region) bool {
	for _, r := range c.AllRegions {
		if r.Name == name {
			return true
		}
	}
	return false
}

func (k *checker) operation(path string, o *Operation, limits *Limits) {
	if o.Class >= fleet.ClassCount {
		k.add(path+".class", fmt.Sprintf("is class %d", o.Class), "urgent, normal or batch")
	}
	// A max_deadline that is out of range has its own finding.
	limitValid := MaxDeadlineRange.Contains(limits.MaxDeadline)
	deadlineValid := inRange(k, path+".deadline", o.Deadline, DeadlineRange)
	if deadlineValid && limitValid && o.Deadline > limits.MaxDeadline {
		k.add(path+".deadline", fmt.Sprintf("is %v", o.Deadline), fmt.Sprintf("at most limits.max_deadline, %v", limits.MaxDeadline))
	}
	if inRange(k, path+".expected_run_time", o.ExpectedRunTime, RunTimeRange) && deadlineValid && o.ExpectedRunTime > o.Deadline {
		k.add(path+".expected_run_time", fmt.Sprintf("is %v", o.ExpectedRunTime), fmt.Sprintf("at most the deadline, %v", o.Deadline))
	}
}

func (k *checker) teams(teams []Team) {
	k.names("team", len(teams), func(i int) string { return string(teams[i].Name) })
	sum := 0.0
	for i, team := range teams {
		key := fmt.Sprintf("team[%d].", i)
		if inRange(k, key+"share", team.Share, ShareRange) {
			sum += team.Share
		}
		inRange(k, key+"max_jobs", team.MaxJobs, MaxJobsRange)
	}
	if sum > 1+shareSumTolerance {
		k.add("team", fmt.Sprintf("the shares sum to %.4g", sum), "a sum of at most 1")
	}
}

func (k *checker) kinds(kinds []BatchKind) {
	k.names("kind", len(kinds), func(i int) string { return kinds[i].Name })
	for i, kind := range kinds {
		key := fmt.Sprintf("kind[%d].", i)
		inRange(k, key+"expected_run_time", kind.ExpectedRunTime, BatchRunTimeRange)
		inRange(k, key+"slots", kind.Resources.Slots, SlotsRange)
		inRange(k, key+"milli_cpu", kind.Resources.MilliCPU, MilliCPURange)
		inRange(k, key+"memory_mib", kind.Resources.MemoryMiB, MemoryMiBRange)
		inRange(k, key+"accelerators", kind.Resources.Accelerators, AcceleratorsRange)
	}
}

func (k *checker) limits(l *Limits) {
	inRange(k, "limits.max_deadline", l.MaxDeadline, MaxDeadlineRange)
	inRange(k, "limits.long_share", l.LongShare, ShareRange)
	inRange(k, "limits.long_run_time", l.LongRunTime, LongRunTimeRange)
	inRange(k, "limits.evictions_per_minute", l.EvictionsPerMinute, EvictionsRange)
	inRange(k, "limits.region_bytes_per_second", l.RegionBytesPerSecond, RegionBytesRange)
}
