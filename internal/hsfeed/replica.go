package hsfeed

import (
	"cmp"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
)

type (
	// Replica holds a host's copy of the published state at the highest revision
	// received, and a log of the latest events for hosts that are behind. It is
	// not safe for concurrent use.
	Replica struct {
		// Revision of the state; 0 before the first update.
		revision uint64
		// Revision up to which all changes have been received; never below
		// revision. An update without events, or with a whole state equal to the
		// present one, raises only this number.
		receivedRevision uint64
		// Nil before the first configuration.
		configuration *Configuration
		// Revision of configuration.
		configurationRevision uint64
		targets               map[TargetID]TargetRecord
		// Events after revision logStart, in ascending order of revisions. At most
		// maxLog events, at most one of which is a configuration.
		log      []Event
		logStart uint64
	}

	// Change describes what an update changed in the state.
	Change struct {
		// True if the configuration changed.
		Configuration bool
		// True if the listed targets changed.
		Targets bool
		// Number of events that changed the state.
		EventCount int
	}
)

const (
	// maxLog is the maximum number of events in the log. A host that is further
	// behind gets the whole state. When all targets of a region announce
	// themselves within seconds, the changes have to fit in the log: otherwise
	// hosts would get the whole state again and again.
	maxLog = 4096
	// logDropCount is the number of events that are dropped at once when the log
	// is full. Dropping one at a time would move all others for each new event.
	logDropCount = maxLog / 8
)

// Revision returns the revision of the state.
func (r *Replica) Revision() uint64 { return r.revision }

// Configuration returns the current configuration, or nil.
func (r *Replica) Configuration() *Configuration { return r.configuration }

// Targets returns the listed targets in the order of their IDs.
func (r *Replica) Targets() []TargetRecord {
	out := make([]TargetRecord, 0, len(r.targets))
	for _, record := range r.targets {
		out = append(out, record)
	}
	slices.SortFunc(out, func(a, b TargetRecord) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Apply applies an update from the store or from another host. An update to an
// older or the same revision changes nothing. If changes between the state and
// the update are missing, Apply returns PeerGap and changes nothing; the caller
// then has to fetch them.
func (r *Replica) Apply(now time.Time, u *Update) (Change, hscode.Code) {
	if u.Revision <= r.revision {
		return Change{}, hscode.OK
	}
	if u.Since == 0 {
		return r.replaceState(now, u), hscode.OK
	}
	if u.Since > r.receivedRevision {
		return Change{}, hscode.PeerGap
	}
	var ch Change
	for i := range u.Events {
		if u.Events[i].Revision > r.revision {
			r.applyEvent(now, &u.Events[i], &ch)
			r.appendToLog(u.Events[i])
		}
	}
	if len(u.Events) > 0 {
		r.revision = u.Revision
	}
	r.receivedRevision = max(r.receivedRevision, u.Revision)
	return ch, hscode.OK
}

// UpdateSince returns the changes after a revision, or the whole state if the
// log does not reach back that far. It returns false if nothing changed.
func (r *Replica) UpdateSince(revision uint64) (Update, bool) {
	if revision >= r.revision {
		return Update{}, false
	}
	if revision == 0 || revision < r.logStart {
		return r.wholeState(), true
	}
	u := Update{Since: revision, Revision: r.revision}
	for i := range r.log {
		if r.log[i].Revision > revision {
			u.Events = append(u.Events, r.log[i])
		}
	}
	return u, true
}

// wholeState returns an update with the whole state.
func (r *Replica) wholeState() Update {
	u := Update{Revision: r.revision}
	if r.configuration != nil {
		u.Events = append(u.Events, Event{Revision: r.configurationRevision, Configuration: r.configuration})
	}
	for _, record := range r.Targets() {
		u.Events = append(u.Events, Event{Revision: record.Revision, Target: &record.Target})
	}
	return u
}

// replaceState replaces the state by a newer whole state and empties the log,
// since a whole state does not contain the changes in between. If the whole
// state equals the present one, the revision and the log stay as they are, so
// that no other host fetches the state again.
func (r *Replica) replaceState(now time.Time, u *Update) Change {
	var ch Change
	listed := make(map[TargetID]bool, len(u.Events))
	for i := range u.Events {
		ev := &u.Events[i]
		if ev.Target != nil {
			listed[ev.Target.ID] = true
		}
		r.applyEvent(now, ev, &ch)
	}
	for id := range r.targets {
		if !listed[id] {
			delete(r.targets, id)
			ch.Targets = true
		}
	}
	r.receivedRevision = max(r.receivedRevision, u.Revision)
	if r.revision > 0 && ch == (Change{}) {
		return ch
	}
	r.revision = u.Revision
	r.log = nil
	r.logStart = u.Revision
	return ch
}

// applyEvent applies one event and records in ch what it changed. It ignores
// events that the state already reflects.
func (r *Replica) applyEvent(now time.Time, ev *Event, ch *Change) {
	switch {
	case ev.Configuration != nil:
		if ev.Revision <= r.configurationRevision {
			return
		}
		r.configuration = ev.Configuration.withPreviousServices(r.configuration)
		r.configurationRevision = ev.Revision
		ch.Configuration = true
	case ev.Target != nil:
		if old, ok := r.targets[ev.Target.ID]; ok && old.Revision >= ev.Revision {
			return
		}
		if r.targets == nil {
			r.targets = map[TargetID]TargetRecord{}
		}
		r.targets[ev.Target.ID] = TargetRecord{Target: *ev.Target, Revision: ev.Revision, WarmUpUntil: now.Add(ev.Target.WarmUp)}
		ch.Targets = true
	default:
		if _, ok := r.targets[ev.Removed]; !ok {
			return
		}
		delete(r.targets, ev.Removed)
		ch.Targets = true
	}
	ch.EventCount++
}

// appendToLog appends an event to the log. A configuration replaces the one
// that the log holds, if any: a host that is behind needs only the newest,
// which also lists the previous services of its routes.
func (r *Replica) appendToLog(ev Event) {
	if ev.Configuration != nil {
		ev.Configuration = r.configuration
		r.log = slices.DeleteFunc(r.log, func(old Event) bool { return old.Configuration != nil })
	}
	if len(r.log) == maxLog {
		r.logStart = r.log[logDropCount-1].Revision
		r.log = slices.Delete(r.log, 0, logDropCount)
	}
	r.log = append(r.log, ev)
}

// withPreviousServices returns a copy of c that replaces the previous
// configuration. The current and previous services of a route of the previous
// configuration become previous services of the route with the same address in
// the copy, unless they are its current services.
func (c *Configuration) withPreviousServices(previous *Configuration) *Configuration {
	if previous == nil {
		return c
	}
	servicesAt := make(map[string][]string, len(previous.Routes))
	for i := range previous.Routes {
		r := &previous.Routes[i]
		servicesAt[r.Address.String()] = append(r.currentServices(), r.PreviousServices...)
	}
	out := *c
	out.Routes = slices.Clone(c.Routes)
	for i := range out.Routes {
		r := &out.Routes[i]
		r.PreviousServices = r.previousServices(servicesAt[r.Address.String()])
	}
	return &out
}

// currentServices returns the names of the services that new flows of the route
// are sent to.
func (r *Route) currentServices() []string {
	out := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		out = append(out, s.Service)
	}
	return out
}

// previousServices returns candidates and the previous services that r already
// lists, without the current services of r, sorted and without duplicates.
func (r *Route) previousServices(candidates []string) []string {
	var out []string
	current := r.currentServices()
	for _, s := range append(candidates, r.PreviousServices...) {
		if !slices.Contains(current, s) {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
