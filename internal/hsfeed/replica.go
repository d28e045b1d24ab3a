package hsfeed

import (
	"cmp"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
)

type (
	// Replica holds a host's copy of the published state at the latest position
	// received, and a log of the latest events for hosts that are behind. It is
	// not safe for concurrent use.
	Replica struct {
		// Position of the state; zero before the first update. It never decreases.
		position Position
		// Revision, in the era of position, up to which all changes have been
		// received; never below the revision of position. An update without
		// events raises only this number.
		receivedRevision uint64
		// Nil before the first configuration. Its version never decreases, also
		// where the store has an older one.
		configuration *Configuration
		targets       targetSet
		evacuations   evacuationSet
		// Events after revision logStart of the current era, in ascending order of
		// revisions. At most maxLog events, at most one of which is a
		// configuration.
		log      []Event
		logStart uint64
		// Time of the last call of Apply or Tick.
		now time.Time
	}

	// Change describes what an update changed in the state.
	Change struct {
		// True if the configuration changed.
		Configuration bool
		// True if the listed targets changed.
		Targets bool
		// True if the zones that are being evacuated changed.
		Evacuations bool
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

// Position returns the position of the state.
func (r *Replica) Position() Position { return r.position }

// Revision returns the revision of the state.
func (r *Replica) Revision() uint64 { return r.position.Revision }

// EraSince returns the time at which this host entered the current era of the
// store; zero before the first update.
func (r *Replica) EraSince() time.Time { return r.targets.eraSince }

// Configuration returns the current configuration, or nil.
func (r *Replica) Configuration() *Configuration { return r.configuration }

// Targets returns the listed targets in the order of their IDs, one for each ID. The
// configuration names their services.
func (r *Replica) Targets() []TargetRecord { return r.targets.sorted() }

// UnlistedEntries returns the valid entries that are not listed, in the order of
// their IDs.
func (r *Replica) UnlistedEntries() []UnlistedEntry { return r.targets.unlisted() }

// Evacuations returns the requests for evacuations that are in force, in the order
// of their zones.
func (r *Replica) Evacuations() []EvacuationRecord { return r.evacuations.active() }

// Digest returns a digest of the current content: the version of the
// configuration, the listed targets and the zones that are being evacuated. It is
// 0 for an empty state. Without evacuations it is the digest that hosts of the
// previous version compute.
func (r *Replica) Digest() uint64 {
	return r.targets.digest ^ r.configuration.digest() ^ r.evacuations.digest
}

// Position returns the position of the state after the update.
func (u *Update) Position() Position { return Position{Era: u.Era, Revision: u.Revision} }

// Digest returns the Replica.Digest of a host that has only received this update,
// which has to be a whole state.
func (u *Update) Digest() uint64 {
	var r Replica
	r.Apply(time.Time{}, u)
	return r.Digest()
}

// Apply applies an update from the store or from another host. An update to an
// earlier position changes at most the configuration, and so does one to the
// same position, unless it is the whole state: that is merged. If changes
// between the state and the update are missing, Apply returns PeerGap; the
// caller then has to fetch them.
func (r *Replica) Apply(now time.Time, u *Update) (Change, hscode.Code) {
	r.now = now
	p := Position{Era: cmp.Or(u.Era, r.position.Era), Revision: u.Revision}
	var ch Change
	r.applyConfigurations(u.Events, &ch)
	order := p.Compare(r.position)
	switch {
	case order < 0, order == 0 && (u.Since > 0 || u.Revision < r.receivedRevision):
		return ch, hscode.OK
	case order == 0:
		r.targets.merge(now, p.Era, u.Events, &ch)
		r.evacuations.merge(now, p.Era, u.Events, &ch)
		return ch, hscode.OK
	case u.Since == 0:
		r.replaceState(now, p, u.Events, &ch)
		return ch, hscode.OK
	case p.Era != r.position.Era || u.Since > r.receivedRevision:
		return ch, hscode.PeerGap
	}
	for i := range u.Events {
		if u.Events[i].Revision > r.position.Revision {
			r.targets.apply(now, p.Era, &u.Events[i], &ch)
			r.evacuations.apply(now, p.Era, &u.Events[i], true, &ch)
			r.appendToLog(u.Events[i])
		}
	}
	if len(u.Events) > 0 {
		r.position = p
	}
	r.receivedRevision = max(r.receivedRevision, u.Revision)
	return ch, hscode.OK
}

// Adopt advances the replica to the position of a host whose state has the given
// digest, if the state here has the same, so that it does not have to be fetched.
// It reports whether it did. While entries are held, changes within the era may
// concern them without changing the digest. While zones are evacuated, the digest
// does not show in which era and at which revision the requests were written.
func (r *Replica) Adopt(now time.Time, p Position, digest uint64) bool {
	sameEra := p.Era == r.position.Era
	if digest == 0 || digest != r.Digest() || !p.After(r.position) || (sameEra && r.targets.held.count > 0) || r.evacuations.digest != 0 {
		return false
	}
	r.enterEra(now, p.Era)
	r.moveTo(p)
	return true
}

// Tick does the work that depends on time; see targetSet. Call it at least once
// per second.
func (r *Replica) Tick(now time.Time) Change {
	r.now = now
	var ch Change
	r.targets.tick(now, r.position.Era, &ch)
	return ch
}

// UpdateSince returns the changes after a position, or the whole state if the
// log does not reach back that far. An unknown era counts as the current one.
// Entries have the warm-up time that remains of the announced one. UpdateSince
// returns false if nothing changed.
func (r *Replica) UpdateSince(p Position) (Update, bool) {
	p.Era = cmp.Or(p.Era, r.position.Era)
	if p.Revision == 0 {
		return r.wholeState(), r.position.Revision > 0
	}
	if !r.position.After(p) {
		return Update{}, false
	}
	if p.Era != r.position.Era || p.Revision < r.logStart {
		return r.wholeState(), true
	}
	u := Update{Era: r.position.Era, Since: p.Revision, Revision: r.position.Revision}
	for i := range r.log {
		if r.log[i].Revision > p.Revision {
			u.Events = append(u.Events, r.targets.withRemainingWarmUp(r.now, r.log[i]))
		}
	}
	return u, true
}

// wholeState returns an update with the whole state.
func (r *Replica) wholeState() Update {
	u := Update{Era: r.position.Era, Revision: r.position.Revision}
	if r.configuration != nil {
		u.Events = append(u.Events, Event{Revision: r.position.Revision, Configuration: r.configuration})
	}
	u.Events = r.targets.appendEvents(u.Events, r.position.Era)
	u.Events = r.evacuations.appendEvents(u.Events)
	for i := range u.Events {
		u.Events[i] = r.targets.withRemainingWarmUp(r.now, u.Events[i])
	}
	return u
}

// replaceState replaces the state by a later whole state and empties the log,
// since a whole state does not contain the changes in between.
func (r *Replica) replaceState(now time.Time, p Position, events []Event, ch *Change) {
	r.enterEra(now, p.Era)
	r.targets.replace(now, p, events, ch)
	r.evacuations.replace(now, p, events, ch)
	r.moveTo(p)
}

// enterEra prepares the state for another era.
func (r *Replica) enterEra(now time.Time, era uint64) {
	if era != r.position.Era || r.position.Revision == 0 {
		r.targets.enterEra(now)
	}
}

// moveTo sets the position without the changes that lead there.
func (r *Replica) moveTo(p Position) {
	r.position = p
	r.receivedRevision = p.Revision
	r.log = nil
	r.logStart = p.Revision
}

// applyConfigurations applies the configuration with the highest version.
func (r *Replica) applyConfigurations(events []Event, ch *Change) {
	for i := range events {
		c := events[i].Configuration
		if c == nil || (r.configuration != nil && c.Version <= r.configuration.Version) {
			continue
		}
		r.configuration = c.withPreviousServices(r.configuration)
		r.targets.setServices(r.configuration, ch)
		ch.Configuration = true
		ch.EventCount++
	}
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

// serviceNames returns the services that the configuration names: those with
// settings, and those that its routes lead to or led to before.
func (c *Configuration) serviceNames() map[string]bool {
	out := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		out[c.Services[i].Name] = true
	}
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			out[s.Service] = true
		}
		for _, name := range c.Routes[i].PreviousServices {
			out[name] = true
		}
	}
	return out
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
