package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since
// the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	// Number of events of each kind.
	counts map[string]int
	// What broke the rule.
	violations []string
	// What kept the case from running.
	problems []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &recorder{file: f, started: time.Now(), counts: map[string]int{}}, nil
}

// line writes a line of a kind and counts it.
func (r *recorder) line(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(kind, fmt.Sprintf(format, args...))
}

func (r *recorder) write(kind, text string) {
	r.counts[kind]++
	_, _ = fmt.Fprintf(r.file, "%8.3f %-9s %s\n", time.Since(r.started).Seconds(), kind, text)
}

// violation records that the rule was broken.
func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.write("BROKEN", text)
}

// problem records that the case could not run as intended.
func (r *recorder) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.problems = append(r.problems, text)
	r.write("problem", text)
}

// finish writes the summary and returns the exit status.
func (r *recorder) finish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := fmt.Sprintf("opened %d, sent %d, run %d, answered %d, reset %d, unopened %d, unanswered %d, rule broken %d times",
		r.counts["opened"], r.counts["sent"], r.counts["run"], r.counts["answered"], r.counts["reset"],
		r.counts["unopened"], r.counts["lost"], len(r.violations))
	status := exitHeld
	switch {
	case len(r.violations) > 0:
		status = exitBroken
	case len(r.problems) > 0:
		status = exitNotRun
	}
	r.write("summary", summary)
	_ = r.file.Close()
	fmt.Println(summary)
	for _, text := range append(r.violations[:min(len(r.violations), 3)], r.problems...) {
		fmt.Println(" ", text)
	}
	return status
}
