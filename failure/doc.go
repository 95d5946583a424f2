// Package failure tests failures of real processes. Entry instances run as child
// processes against an in-process stand-in; each test causes one or two failures
// and then checks the guarantees of the design page. The package contains only
// tests.
package failure
