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
func (k *Replica) Revision() uint64 { return k.revision }

// Configuration returns the current configuration, or nil.
func (k *Replica) Configuration() *Configuration { return k.configuration }

// Targets returns the listed targets in the order of their IDs.
func (k *Replica) Targets() []TargetRecord {
	out := make([]TargetRecord, 0, len(k.targets))
	for _, e := range k.targets {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b TargetRecord) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Apply applies an update from the store or from another host. An update to an
// older or the same revision changes nothing. If changes between the state and
// the update are missing, Apply returns PeerGap and changes nothing; the caller
// then has to fetch them.
func (k *Replica) Apply(now time.Time, u *Update) (Change, hscode.Code) {
	if u.Revision <= k.revision {
		return Change{}, hscode.OK
	}
	if u.Since == 0 {
		return k.replaceState(now, u), hscode.OK
	}
	if u.Since > k.receivedRevision {
		return Change{}, hscode.PeerGap
	}
	var ch Change
	for i := range u.Events {
		if u.Events[i].Revision > k.revision {
			k.applyEvent(now, &u.Events[i], &ch)
			k.appendToLog(u.Events[i])
		}
	}
	if len(u.Events) > 0 {
		k.revision = u.Revision
	}
	k.receivedRevision = max(k.receivedRevision, u.Revision)
	return ch, hscode.OK
}

// UpdateSince returns the changes after a revision, or the whole state if the
// log does not reach back that far. It returns false if nothing changed.
func (k *Replica) UpdateSince(revision uint64) (Update, bool) {
	if revision >= k.revision {
		return Update{}, false
	}
	if revision == 0 || revision < k.logStart {
		return k.wholeState(), true
	}
	u := Update{Since: revision, Revision: k.revision}
	for i := range k.log {
		if k.log[i].Revision > revision {
			u.Events = append(u.Events, k.log[i])
		}
	}
	return u, true
}

// wholeState returns an update with the whole state.
func (k *Replica) wholeState() Update {
	u := Update{Revision: k.revision}
	if k.configuration != nil {
		u.Events = append(u.Events, Event{Revision: k.configurationRevision, Configuration: k.configuration})
	}
	for _, e := range k.Targets() {
		u.Events = append(u.Events, Event{Revision: e.Revision, Target: &e.Target})
	}
	return u
}

// replaceState replaces the state by a newer whole state and empties the log,
// since a whole state does not contain the changes in between. If the whole
// state equals the present one, the revision and the log stay as they are, so
// that no other host fetches the state again.
func (k *Replica) replaceState(now time.Time, u *Update) Change {
	var ch Change
	listed := make(map[TargetID]bool, len(u.Events))
	for i := range u.Events {
		ev := &u.Events[i]
		if ev.Target != nil {
			listed[ev.Target.ID] = true
		}
		k.applyEvent(now, ev, &ch)
	}
	for id := range k.targets {
		if !listed[id] {
			delete(k.targets, id)
			ch.Targets = true
		}
	}
	k.receivedRevision = max(k.receivedRevision, u.Revision)
	if k.revision > 0 && ch == (Change{}) {
		return ch
	}
	k.revision = u.Revision
	k.log = nil
	k.logStart = u.Revision
	return ch
}

// applyEvent applies one event and records in ch what it changed. It ignores
// events that the state already reflects.
func (k *Replica) applyEvent(now time.Time, ev *Event, ch *Change) {
	switch {
	case ev.Configuration != nil:
		if ev.Revision <= k.configurationRevision {
			return
		}
		k.configuration = ev.Configuration.withPreviousServices(k.configuration)
		k.configurationRevision = ev.Revision
		ch.Configuration = true
	case ev.Target != nil:
		if old, ok := k.targets[ev.Target.ID]; ok && old.Revision >= ev.Revision {
			return
		}
		if k.targets == nil {
			k.targets = map[TargetID]TargetRecord{}
		}
		k.targets[ev.Target.ID] = TargetRecord{Target: *ev.Target, Revision: ev.Revision, WarmUpUntil: now.Add(ev.Target.WarmUp)}
		ch.Targets = true
	default:
		if _, ok := k.targets[ev.Removed]; !ok {
			return
		}
		delete(k.targets, ev.Removed)
		ch.Targets = true
	}
	ch.EventCount++
}

// appendToLog appends an event to the log. A configuration replaces the one
// that the log holds, if any: a host that is behind needs only the newest,
// which also lists the previous services of its routes.
func (k *Replica) appendToLog(ev Event) {
	if ev.Configuration != nil {
		ev.Configuration = k.configuration
		k.log = slices.DeleteFunc(k.log, func(old Event) bool { return old.Configuration != nil })
	}
	if len(k.log) == maxLog {
		k.logStart = k.log[logDropCount-1].Revision
		k.log = slices.Delete(k.log, 0, logDropCount)
	}
	k.log = append(k.log, ev)
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
