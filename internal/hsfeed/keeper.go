package hsfeed

import (
	"cmp"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
)

type (
	// Keeper holds the state at the highest revision heard of and the events
	// that led there. It is not safe for concurrent use.
	Keeper struct {
		// Revision of the last change; 0 before the first update.
		revision uint64
		// Revision up to which everything is known: at least revision, and more
		// if what followed changed nothing here.
		seen uint64
		// Nil before the first configuration.
		configuration *Configuration
		configuredAt  uint64
		targets       map[TargetID]Entry
		// Rising revisions above logged, at most maxLog.
		log    []Event
		logged uint64
	}

	// Change says what an update changed.
	Change struct {
		Configuration bool
		Targets       bool
		// Events that were new here.
		Events int
	}
)

const (
	// maxLog bounds the events kept for hosts that are behind; one that is further
	// behind gets the whole state. It is above the changes of the seconds in which
	// all targets of a region announce themselves, when a host would get the whole
	// state again and again otherwise.
	maxLog = 4096
	// logDrop is the number of events that are dropped at a time when the log is
	// full, so that an event seldom moves the others.
	logDrop = maxLog / 8
)

// Revision returns the revision of the state.
func (k *Keeper) Revision() uint64 { return k.revision }

// Configuration returns the configuration in force, or nil.
func (k *Keeper) Configuration() *Configuration { return k.configuration }

// Targets returns the listed targets in the order of their identities.
func (k *Keeper) Targets() []Entry {
	out := make([]Entry, 0, len(k.targets))
	for _, e := range k.targets {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Apply takes an update from the store or a peer. An update that follows on a
// revision that was not reached is refused with PeerGap and has to be fetched.
func (k *Keeper) Apply(now time.Time, u *Update) (Change, hscode.Code) {
	if u.Revision <= k.revision {
		return Change{}, hscode.OK
	}
	if u.Since == 0 {
		return k.replace(now, u), hscode.OK
	}
	if u.Since > k.seen {
		return Change{}, hscode.PeerGap
	}
	var ch Change
	for i := range u.Events {
		if u.Events[i].Revision > k.revision {
			k.event(now, &u.Events[i], &ch)
			k.remember(u.Events[i])
		}
	}
	if len(u.Events) > 0 {
		k.revision = u.Revision
	}
	k.seen = max(k.seen, u.Revision)
	return ch, hscode.OK
}

// Since returns what changed after a revision, and false if nothing did.
func (k *Keeper) Since(revision uint64) (Update, bool) {
	if revision >= k.revision {
		return Update{}, false
	}
	if revision == 0 || revision < k.logged {
		return k.whole(), true
	}
	u := Update{Since: revision, Revision: k.revision}
	for i := range k.log {
		if k.log[i].Revision > revision {
			u.Events = append(u.Events, k.log[i])
		}
	}
	return u, true
}

func (k *Keeper) whole() Update {
	u := Update{Revision: k.revision}
	if k.configuration != nil {
		u.Events = append(u.Events, Event{Revision: k.configuredAt, Configuration: k.configuration})
	}
	for _, e := range k.Targets() {
		u.Events = append(u.Events, Event{Revision: e.Revision, Target: &e.Target})
	}
	return u
}

// replace takes a whole state that is newer than the present one. Its events
// say nothing of what happened in between, so the log starts anew. A state that
// was read again unchanged keeps its revision, so that no peer asks for it.
func (k *Keeper) replace(now time.Time, u *Update) Change {
	var ch Change
	listed := make(map[TargetID]bool, len(u.Events))
	for i := range u.Events {
		ev := &u.Events[i]
		if ev.Target != nil {
			listed[ev.Target.ID] = true
		}
		k.event(now, ev, &ch)
	}
	for id := range k.targets {
		if !listed[id] {
			delete(k.targets, id)
			ch.Targets = true
		}
	}
	k.seen = max(k.seen, u.Revision)
	if k.revision > 0 && ch == (Change{}) {
		return ch
	}
	k.revision = u.Revision
	k.log = nil
	k.logged = u.Revision
	return ch
}

func (k *Keeper) event(now time.Time, ev *Event, ch *Change) {
	switch {
	case ev.Configuration != nil:
		if ev.Revision <= k.configuredAt {
			return
		}
		k.configuration = ev.Configuration.after(k.configuration)
		k.configuredAt = ev.Revision
		ch.Configuration = true
	case ev.Target != nil:
		if old, ok := k.targets[ev.Target.ID]; ok && old.Revision >= ev.Revision {
			return
		}
		if k.targets == nil {
			k.targets = map[TargetID]Entry{}
		}
		k.targets[ev.Target.ID] = Entry{Target: *ev.Target, Revision: ev.Revision, ColdUntil: now.Add(ev.Target.Cold)}
		ch.Targets = true
	default:
		if _, ok := k.targets[ev.Gone]; !ok {
			return
		}
		delete(k.targets, ev.Gone)
		ch.Targets = true
	}
	ch.Events++
}

// remember adds an event to the log. A configuration replaces the one before, so
// that the log holds one at most: whoever is behind needs only the newest, which
// names the earlier services of its routes.
func (k *Keeper) remember(ev Event) {
	if ev.Configuration != nil {
		ev.Configuration = k.configuration
		k.log = slices.DeleteFunc(k.log, func(old Event) bool { return old.Configuration != nil })
	}
	if len(k.log) == maxLog {
		k.logged = k.log[logDrop-1].Revision
		k.log = slices.Delete(k.log, 0, logDrop)
	}
	k.log = append(k.log, ev)
}

// after returns c with what the configuration before says of earlier services.
func (c *Configuration) after(before *Configuration) *Configuration {
	if before == nil {
		return c
	}
	old := make(map[string][]string, len(before.Routes))
	for i := range before.Routes {
		r := &before.Routes[i]
		old[r.At.String()] = append(r.services(), r.Earlier...)
	}
	out := *c
	out.Routes = slices.Clone(c.Routes)
	for i := range out.Routes {
		r := &out.Routes[i]
		r.Earlier = r.earlier(old[r.At.String()])
	}
	return &out
}

func (r *Route) services() []string {
	out := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		out = append(out, s.Service)
	}
	return out
}

// earlier returns the services in had and r.Earlier that r does not name now.
func (r *Route) earlier(had []string) []string {
	var out []string
	now := r.services()
	for _, s := range append(had, r.Earlier...) {
		if !slices.Contains(now, s) {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
