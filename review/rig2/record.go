package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add writes one line with the present time.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{r.now().Seconds()}, values...)...)
}

// say writes one line to the record and to the standard output.
func (r *record) say(format string, values ...any) {
	fmt.Printf("%8.3f "+format+"\n", append([]any{r.now().Seconds()}, values...)...)
	r.add(format, values...)
}
