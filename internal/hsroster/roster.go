// Package hsroster decides which entry hosts are alive. It probes members
// directly and through others (after SWIM: Das, Gupta, Motivala, 2002), within
// the bounds of the published host list, and spreads what it finds on the
// probes themselves.
//
// A Roster does no I/O and reads no clock.
package hsroster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsrank"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// State is what a roster holds about a member.
	State uint8

	// Config holds the settings of a Roster.
	Config struct {
		// Name of this entry host.
		Self string
		// Boot number of this process; rises with each start.
		Boot uint64
		// Interval between probes.
		Probe time.Duration
		// Time from suspicion to death.
		Suspect time.Duration
		// Seed of the order of probes.
		Seed uint64
		// If positive, there is no published host list: whoever sends a
		// heartbeat or is named by a member is admitted, up to this number.
		Admit int
		// Availability zone, which heartbeats carry; may be empty.
		Zone string
	}

	// Peer is what a roster holds about one member, for those who choose among
	// members.
	Peer struct {
		Name string
		// Empty until the member was heard.
		Zone  string
		Alive bool
		// Time of the last message from the member itself.
		Heard time.Time
		// True if the member says that the store does not answer it.
		Refused bool
	}

	// Send is a heartbeat to a member.
	Send struct {
		To      string
		Message *hsschema.Heartbeat
	}

	// Output is the effect of one step.
	Output struct {
		Sends []Send
		// True if the members alive or leaving changed.
		Changed bool
		// Member that has a newer manifest in force, or empty.
		Newer string
		// Member that has the same manifest and another history, or empty.
		Differs string
	}

	// Roster is the membership core of one entry host. It is not safe for
	// concurrent use.
	Roster struct {
		cfg Config
		rng *rand.Rand
		// By name, without this host.
		members map[string]*member
		// Names of members in the probeOrder of probes.
		probeOrder []string
		nextProbe  int
		seq        uint64
		// Direct probes without answer, by sequence number.
		probes map[uint64]*probe
		// Indirect probes made for others, by sequence number.
		relays        map[uint64]relay
		lastProbe     time.Time
		leaving       bool
		gone          bool
		incarnation   uint32
		version       uint64
		digest        uint64
		historyDigest uint64
		loads         []*hsschema.Load
		// True if the store does not answer this host.
		storeUnreachable bool
		out              Output
	}

	member struct {
		name  string
		state State
		// Highest boot number seen; zero before the first message.
		boot        uint64
		incarnation uint32
		// Time of the last change of state.
		stateSince time.Time
		// Time of the last message from the member itself.
		lastHeard time.Time
		// Times that the present state was spreadCount.
		spreadCount      int
		version          uint64
		digest           uint64
		zone             string
		storeUnreachable bool
		// True if the member stays listed when it is dead.
		seed bool
	}

	probe struct {
		to     string
		sentAt time.Time
		// True once others were asked to probe.
		indirect bool
	}

	relay struct {
		requester string
		seq       uint64
		sentAt    time.Time
	}
)

// States of a member.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Leaving
)

const (
	// fanout is the number of members probed per interval.
	fanout = 2
	// relayCount is the number of members asked to probe indirectly.
	relayCount = 2
	// maxRumors bounds the rumors of one heartbeat.
	maxRumors = 6
	// maxSpreads is how often a change is spread by each member.
	maxSpreads = 6
	// maxNotified bounds the members that are told of a change at once; the
	// others hear of it from the probes.
	maxNotified = 16
	// maxWelcomeRumors bounds what a member that has just started is told of the
	// others, so that the message fits into one packet.
	maxWelcomeRumors = 32
	// deadRetention is the time after which a dead member is no longer probed
	// where no host list names it. Partitions that last longer heal through
	// the seeds.
	deadRetention = time.Minute
)

// New returns a roster without members.
func New(cfg Config) *Roster {
	return &Roster{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)),
		members: map[string]*member{},
		probes:  map[uint64]*probe{},
		relays:  map[uint64]relay{},
	}
}

// SetHosts takes the published host list as the bound of who may be a member.
// New members count as alive until a probe says otherwise.
func (r *Roster) SetHosts(now time.Time, hosts []hsmanifest.Host) Output {
	r.resetOutput()
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		if h.Name == r.cfg.Self || r.members[h.Name] != nil {
			continue
		}
		r.members[h.Name] = &member{name: h.Name, state: Alive, stateSince: now, lastHeard: now, spreadCount: maxSpreads}
		r.out.Changed = true
	}
	for name := range r.members {
		if !listed[name] {
			delete(r.members, name)
			r.out.Changed = true
		}
	}
	r.shuffleProbeOrder()
	return r.out
}

// Seed admits members by name that stay listed for good.
func (r *Roster) Seed(now time.Time, names []string) Output {
	r.resetOutput()
	for _, name := range names {
		if m := r.admit(now, name); m != nil && !m.seed {
			m.seed = true
			r.ping(now, name)
		}
	}
	return r.out
}

// Peers returns the members by name.
func (r *Roster) Peers() []Peer {
	out := make([]Peer, 0, len(r.members))
	for _, name := range sortedKeys(r.members) {
		m := r.members[name]
		out = append(out, Peer{
			Name: name,
			Zone: m.zone,
			// A member that was never heard is a name, not a host.
			Alive:   m.boot > 0 && (m.state == Alive || m.state == Suspect),
			Heard:   m.lastHeard,
			Refused: m.storeUnreachable,
		})
	}
	return out
}

// Message returns a heartbeat that expects no answer, for the caller to fill.
func (r *Roster) Message(kind hsschema.Heartbeat_Kind) *hsschema.Heartbeat {
	r.resetOutput()
	r.addHeartbeat("", kind, 0, "")
	hb := r.out.Sends[0].Message
	r.resetOutput()
	return hb
}

// SetRefused notes whether the store does not answer this host, which heartbeats
// carry, and tells the members if that changed.
func (r *Roster) SetRefused(now time.Time, refused bool) Output {
	r.resetOutput()
	if r.storeUnreachable != refused {
		r.storeUnreachable = refused
		r.notifyMembers(now)
	}
	return r.out
}

// admit returns the member with a name, which is added if there is room and no
// host list. It returns nil for this host itself and for a stranger.
func (r *Roster) admit(now time.Time, name string) *member {
	if m := r.members[name]; m != nil || name == r.cfg.Self || name == "" || len(r.members) >= r.cfg.Admit {
		return m
	}
	m := &member{name: name, state: Alive, stateSince: now, lastHeard: now}
	r.members[name] = m
	r.probeOrder = append(r.probeOrder, name)
	r.out.Changed = true
	return m
}

// removeDead drops members that have been dead for long, if no list names them.
func (r *Roster) removeDead(now time.Time) {
	if r.cfg.Admit == 0 {
		return
	}
	for name, m := range r.members {
		if m.state == Dead && !m.seed && now.Sub(m.stateSince) > deadRetention {
			delete(r.members, name)
		}
	}
}

// SetForce notes the manifest in force here, which heartbeats carry, and tells
// all members at once, so that a change spreads faster than the probes.
func (r *Roster) SetForce(now time.Time, version, digest, history uint64) Output {
	r.resetOutput()
	r.version = version
	r.digest = digest
	r.historyDigest = history
	r.notifyMembers(now)
	return r.out
}

// SetVersion notes the version in force here, which heartbeats carry, without
// telling anyone at once.
func (r *Roster) SetVersion(version uint64) {
	r.version = version
}

// SetHistory notes the placement history held here, which heartbeats carry.
func (r *Roster) SetHistory(history uint64) {
	r.historyDigest = history
}

// SetLoads notes the loads of the targets homed here, which heartbeats carry.
func (r *Roster) SetLoads(loads []*hsschema.Load) {
	r.loads = loads
}

// Leave announces this host's planned stop.
func (r *Roster) Leave(now time.Time) Output {
	r.resetOutput()
	r.leaving = true
	r.notifyMembers(now)
	return r.out
}

// Gone tells all members that this process ends now.
func (r *Roster) Gone(now time.Time) Output {
	r.gone = true
	return r.Leave(now)
}

// Wake forgives the silence that this process's own pause caused.
func (r *Roster) Wake(now time.Time) Output {
	r.resetOutput()
	for _, m := range r.members {
		m.lastHeard = now
		if m.state == Suspect {
			m.stateSince = now
		}
	}
	clear(r.probes)
	clear(r.relays)
	r.lastProbe = now
	r.notifyMembers(now)
	return r.out
}

// Status returns what ranking needs, this host included.
func (r *Roster) Status() map[string]hsrank.Status {
	out := make(map[string]hsrank.Status, len(r.members)+1)
	for name, m := range r.members {
		out[name] = hsrank.Status{Alive: m.state != Dead, Leaving: m.state == Leaving}
	}
	out[r.cfg.Self] = hsrank.Status{Alive: true, Leaving: r.leaving}
	return out
}

// Tick lets time pass. It is due at least four times per probe interval.
func (r *Roster) Tick(now time.Time) Output {
	r.resetOutput()
	r.checkProbes(now)
	r.checkSuspects(now)
	if now.Sub(r.lastProbe) >= r.cfg.Probe {
		r.lastProbe = now
		for range min(fanout, len(r.members)) {
			r.probeNext(now)
		}
		r.probeDead()
	}
	r.removeDead(now)
	for seq, rl := range r.relays {
		if now.Sub(rl.sentAt) > r.cfg.Suspect {
			delete(r.relays, seq)
		}
	}
	return r.out
}

func (r *Roster) resetOutput() {
	r.out = Output{}
}

func (r *Roster) shuffleProbeOrder() {
	r.probeOrder = r.probeOrder[:0]
	for name := range r.members {
		r.probeOrder = append(r.probeOrder, name)
	}
	slices.Sort(r.probeOrder)
	r.rng.Shuffle(len(r.probeOrder), func(i, j int) { r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i] })
	r.nextProbe = 0
}

// probeNext probes the next member in an order that is shuffled each round, so
// that every member is probed once a round.
func (r *Roster) probeNext(now time.Time) {
	for range r.probeOrder {
		if r.nextProbe >= len(r.probeOrder) {
			r.shuffleProbeOrder()
		}
		m := r.members[r.probeOrder[r.nextProbe]]
		r.nextProbe++
		if m != nil && m.state != Dead {
			r.ping(now, m.name)
			return
		}
	}
}

// probeDead probes one dead member, so that a healed partition or a member
// that returned is noticed from both sides.
func (r *Roster) probeDead() {
	var dead []string
	for _, name := range r.probeOrder {
		if m := r.members[name]; m != nil && m.state == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return
	}
	r.seq++
	r.addHeartbeat(dead[r.rng.IntN(len(dead))], hsschema.Heartbeat_KIND_PING, r.seq, "")
}

func (r *Roster) ping(now time.Time, to string) {
	r.seq++
	r.probes[r.seq] = &probe{to: to, sentAt: now}
	r.addHeartbeat(to, hsschema.Heartbeat_KIND_PING, r.seq, "")
}

func (r *Roster) notifyMembers(now time.Time) {
	names := make([]string, 0, len(r.members))
	for name := range r.members {
		names = append(names, name)
	}
	slices.Sort(names)
	if r.cfg.Admit > 0 && len(names) > maxNotified {
		r.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:maxNotified]
	}
	for _, name := range names {
		if r.members[name].state != Dead {
			r.ping(now, name)
		}
	}
}

// checkProbes asks others to probe members that did not answer, and suspects
// those that did not answer them either.
func (r *Roster) checkProbes(now time.Time) {
	for _, seq := range sortedKeys(r.probes) {
		p := r.probes[seq]
		age := now.Sub(p.sentAt)
		if age >= r.cfg.Probe {
			delete(r.probes, seq)
			r.suspect(now, p)
			continue
		}
		if age >= r.cfg.Probe/3 && !p.indirect {
			p.indirect = true
			r.requestProbes(seq, p.to)
		}
	}
}

func (r *Roster) requestProbes(seq uint64, about string) {
	var others []string
	for _, name := range r.probeOrder {
		if m := r.members[name]; m != nil && m.state == Alive && name != about {
			others = append(others, name)
		}
	}
	r.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, name := range others[:min(relayCount, len(others))] {
		r.addHeartbeat(name, hsschema.Heartbeat_KIND_PROBE, seq, about)
	}
}

// suspect notes that a probe failed, unless the member was heard of since.
func (r *Roster) suspect(now time.Time, p *probe) {
	m := r.members[p.to]
	if m == nil || m.lastHeard.After(p.sentAt) || (m.state != Alive && m.state != Leaving) {
		return
	}
	r.setState(now, m, Suspect)
	r.notifyMembers(now)
}

// checkSuspects ends suspicions that nobody refuted. Who decides tells all, so
// that the others need not find out themselves.
func (r *Roster) checkSuspects(now time.Time) {
	died := false
	for _, name := range sortedKeys(r.members) {
		m := r.members[name]
		if m.state != Suspect {
			continue
		}
		if now.Sub(m.stateSince) >= r.cfg.Suspect {
			r.setState(now, m, Dead)
			died = true
			continue
		}
		// Every tick of the suspicion gives the member another chance to
		// answer, so that a lossy link does not end it.
		r.seq++
		r.addHeartbeat(name, hsschema.Heartbeat_KIND_PING, r.seq, "")
	}
	if died {
		r.notifyMembers(now)
	}
}

func (r *Roster) setState(now time.Time, m *member, s State) {
	if m.state == s {
		return
	}
	// Suspicion alone changes nothing for ranking.
	if rankingState(m.state) != rankingState(s) {
		r.out.Changed = true
	}
	m.state = s
	m.stateSince = now
	m.spreadCount = 0
}

func rankingState(s State) State {
	if s == Suspect {
		return Alive
	}
	return s
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
