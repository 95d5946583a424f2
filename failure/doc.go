// Package failure holds the failure tests with real processes: entry instances
// run as child processes against an in-process stand-in, fail in one way or
// two, and every promise of the design page is checked afterwards. The package
// has no code besides its tests.
package failure
