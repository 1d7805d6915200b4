package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, one line an event, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// at returns a time as seconds since the start.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.start).Seconds()) }

func (r *recorder) logAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s  %s\n", r.at(t), fmt.Sprintf(format, args...))
}

func (r *recorder) log(format string, args ...any) { r.logAt(time.Now(), format, args...) }

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}
