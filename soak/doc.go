// Package soak is the randomized fault-injection test: several scheduler processes
// on loopback run against a stand-in of the platform while faults are injected
// from outside. It contains tests only; make soak runs them with a seed and a
// duration.
package soak
