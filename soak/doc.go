// Package soak is the randomized fault soak: the real daemon as several processes
// on loopback, against the stand-in of the platform, with faults from outside
// them. It has tests only; make soak runs it with a seed and a duration.
package soak
