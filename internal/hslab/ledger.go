package hslab

import "sync"

type (
	// Ledger records the requests that targets run, to find those that ran
	// twice or on a target of the wrong service. All targets of an experiment
	// share it.
	Ledger struct {
		mu sync.Mutex
		// How often each request to a service that is not idempotent ran, by
		// request id.
		runs map[uint64]int
		// Requests in runs that ran more than once.
		ranTwice int
		// Requests that ran on the wrong service or were corrupted.
		misrouted int
		// Runs of all requests.
		ran int
		// Packets that reached a target without a service at their address.
		misdelivered int
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[uint64]int{}}
}

// RecordRun records that a target ran request id. correct is false if the
// request was corrupted or meant for another service.
func (l *Ledger) RecordRun(id uint64, idempotent, correct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran++
	if !correct {
		l.misrouted++
	}
	if idempotent {
		return
	}
	l.runs[id]++
	if l.runs[id] == 2 {
		l.ranTwice++
	}
}

// RecordMisdelivered records that a packet reached a target which does not
// serve the packet's destination address.
func (l *Ledger) RecordMisdelivered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.misdelivered++
}

// Ran reports whether request id ran. It knows only requests to services that
// are not idempotent.
func (l *Ledger) Ran(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] > 0
}

// Totals returns the number of runs, the number of requests that ran more than
// once, and the number of requests and packets that reached the wrong target.
func (l *Ledger) Totals() (ran, ranTwice, misrouted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran, l.ranTwice, l.misrouted + l.misdelivered
}
