package hslab

import "sync"

type (
	// Ledger notes what targets ran, to find work that ran twice or on the
	// wrong service. It is shared by all stand-ins of an experiment.
	Ledger struct {
		mu sync.Mutex
		// Number of times that a request of a service that is not idempotent ran.
		runs      map[uint64]int
		doubled   int
		misrouted int
		ran       int
		strays    int
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[uint64]int{}}
}

// Run notes that a target which serves service ran request id of service want.
func (l *Ledger) Run(id uint64, idempotent, right bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran++
	if !right {
		l.misrouted++
	}
	if idempotent {
		return
	}
	l.runs[id]++
	if l.runs[id] == 2 {
		l.doubled++
	}
}

// Stray notes that a packet reached a target which does not serve its address.
func (l *Ledger) Stray() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strays++
}

// Ran reports whether request id ran.
func (l *Ledger) Ran(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] > 0
}

// Totals returns the number of requests that ran, that ran twice, and of
// requests and packets that reached the wrong service.
func (l *Ledger) Totals() (ran, doubled, misrouted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran, l.doubled, l.misrouted + l.strays
}
