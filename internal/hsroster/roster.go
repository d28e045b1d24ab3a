// Package hsroster implements the membership protocol of entry hosts: it
// detects which hosts are alive and gossips the result. The protocol follows
// SWIM (Das, Gupta, Motivala, 2002): each host probes members directly and, if
// they do not answer, through other members; rumors about state changes travel
// in the probe messages. Only hosts on the published host list can be members,
// unless Config.MaxMembers is set.
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
	// State is the state of a member as this host sees it.
	State uint8

	// Config holds the settings of a Roster.
	Config struct {
		// Name of this entry host.
		Self string
		// Boot number of this process; each start uses a higher one.
		Boot uint64
		// Interval between probes.
		ProbeInterval time.Duration
		// Time after which a suspected member that has not answered is declared
		// dead.
		SuspectTimeout time.Duration
		// Seeds the random number generator that shuffles the probe order.
		RandomSeed uint64
		// Maximum number of members where there is no published host list; any
		// host that sends a heartbeat or that a rumor reports alive then
		// becomes a member. 0 means that SetHosts supplies the members.
		MaxMembers int
		// Availability zone of this host, sent in heartbeats; may be empty.
		Zone string
	}

	// Peer describes one member to callers that choose among members.
	Peer struct {
		Name string
		// Empty until the first heartbeat from the member.
		Zone  string
		Alive bool
		// Last time at which the member was known to be alive: its last
		// heartbeat, or another member's report that it answered a probe.
		LastHeard time.Time
		// True if the member reports that the store is unavailable to it.
		StoreUnavailable bool
	}

	// Heartbeat is a message for the member named To.
	Heartbeat struct {
		To      string
		Message *hsschema.Heartbeat
	}

	// Output holds what the caller has to act on after one call.
	Output struct {
		Heartbeats []Heartbeat
		// True if the set of members, or which of them are alive or leaving,
		// changed.
		MembershipChanged bool
		// Member whose current manifest is newer than this host's, or empty. Of
		// two manifests with one version, the one with the higher digest counts
		// as newer. Where there is no host list: member whose published state is
		// at a later position.
		NewerPeer string
		// Member that has the same manifest version but a different placement
		// history, or whose published state is at the same position but differs,
		// or empty.
		DivergentPeer string
	}

	// Roster is the membership state machine of one entry host. It is not safe
	// for concurrent use.
	Roster struct {
		cfg Config
		rng *rand.Rand
		// Boot number in this host's messages: Config.Boot, unless that is lower
		// than the one of an earlier process, since the clock was set back.
		boot uint64
		// All members except this host, by name.
		members map[string]*member
		// All members, sorted by name; nil after a member was added or removed.
		sorted []*member
		// Names of members in the order in which they are probed.
		probeOrder []string
		// Index in probeOrder of the member to probe next.
		nextProbe int
		// Last sequence number used.
		seq uint64
		// Probes that this host sent and that are not answered yet, by sequence
		// number.
		probes map[uint64]*probe
		// Probes that this host sent on behalf of other members, by sequence
		// number.
		relays map[uint64]relay
		// Time of the last round of probes.
		lastProbe time.Time
		leaving   bool
		// True once this process has announced that it exits.
		gone bool
		// Incarnation number of this host, as in SWIM: the host raises it to
		// refute a suspicion. On the wire it is Rumor.refute.
		incarnation uint32
		// Version and digest of this host's current manifest. Where there is no
		// host list, era and version are the position of the published state
		// instead; era is 0 if unknown or unused.
		era     uint64
		version uint64
		digest  uint64
		// Digest of this host's placement history or, where there is no host list,
		// of the content of the published state.
		historyDigest uint64
		loads         []*hsschema.Load
		// True if this host reports that the store is unavailable to it.
		storeUnavailable bool
		// Number of hosts that this host has heard of recently, itself included;
		// 0 if unknown or unused.
		hostCount uint32
		out       Output
	}

	member struct {
		name  string
		state State
		// Boot number of the last heartbeat; 0 before the first one.
		boot uint64
		// Highest incarnation number that a rumor reported for this boot.
		incarnation uint32
		// Time of the last change of state.
		stateSince time.Time
		// See Peer.LastHeard. Also set when the member is added and when this
		// process resumes after a pause.
		lastHeard time.Time
		// Number of heartbeats that have carried the current state as a rumor.
		spreadCount      int
		version          uint64
		digest           uint64
		zone             string
		storeUnavailable bool
		// True if the member is never removed, even if it is dead.
		seed bool
		// True once this host has answered a ping of the member's current boot
		// with rumors about other members; see introduceMembers.
		introduced bool
	}

	// probe is a ping from this host that is not answered yet.
	probe struct {
		to     string
		sentAt time.Time
		// True once other members were asked to probe the same member.
		indirect bool
	}

	// relay is a ping that this host sent on behalf of another member.
	relay struct {
		requester string
		// Sequence number of the other member's probe.
		seq    uint64
		sentAt time.Time
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
	// relayCount is the number of members asked to probe a member that did not
	// answer this host.
	relayCount = 2
	// maxRumors is the maximum number of rumors about other members in one
	// heartbeat; the answer to a host that has just started may hold more.
	maxRumors = 6
	// maxSpreads is the number of heartbeats in which each host repeats a state
	// change.
	maxSpreads = 6
	// maxNotified is the maximum number of members that are notified of a change
	// at once where there is no host list; the others learn of it from probes.
	maxNotified = 16
	// maxNewBootRumors is the maximum number of rumors in the answer to a host
	// that has just started, so that the message fits into one packet.
	maxNewBootRumors = 32
	// maxAckIntroductions is the maximum number of rumors in other acks up to
	// which rumors about alive members are added, where there is no host list.
	maxAckIntroductions = 2
	// deadRetention is the time for which a dead member is kept and probed where
	// there is no host list. After a longer partition, hosts find each other
	// again through the seeds.
	deadRetention = time.Minute
)

// New returns a roster without members.
func New(cfg Config) *Roster {
	return &Roster{
		cfg:     cfg,
		boot:    cfg.Boot,
		rng:     rand.New(rand.NewPCG(cfg.RandomSeed, cfg.Boot)),
		members: map[string]*member{},
		probes:  map[uint64]*probe{},
		relays:  map[uint64]relay{},
	}
}

// SetHosts adds the hosts on the published host list as members and removes all
// other members. New members count as alive until they fail to answer a probe.
func (r *Roster) SetHosts(now time.Time, hosts []hsmanifest.Host) Output {
	r.resetOutput()
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		if h.Name == r.cfg.Self || r.members[h.Name] != nil {
			continue
		}
		r.members[h.Name] = &member{name: h.Name, state: Alive, stateSince: now, lastHeard: now, spreadCount: maxSpreads}
		r.sorted = nil
		r.out.MembershipChanged = true
	}
	for name := range r.members {
		if !listed[name] {
			delete(r.members, name)
			r.sorted = nil
			r.out.MembershipChanged = true
		}
	}
	r.shuffleProbeOrder()
	return r.out
}

// AddSeeds adds members that are never removed, and pings them.
func (r *Roster) AddSeeds(now time.Time, names []string) Output {
	r.resetOutput()
	for _, name := range names {
		if m := r.admit(now, name); m != nil && !m.seed {
			m.seed = true
			r.ping(now, name)
		}
	}
	return r.out
}

// Peers returns the members, sorted by name.
func (r *Roster) Peers() []Peer {
	out := make([]Peer, 0, len(r.members))
	for _, m := range r.sortedMembers() {
		out = append(out, Peer{
			Name: m.name,
			Zone: m.zone,
			// A member that has never sent a heartbeat may not exist.
			Alive:            m.boot > 0 && (m.state == Alive || m.state == Suspect),
			LastHeard:        m.lastHeard,
			StoreUnavailable: m.storeUnavailable,
		})
	}
	return out
}

// NewMessage returns a heartbeat of a kind that expects no answer. The caller
// adds the payload and sends it.
func (r *Roster) NewMessage(kind hsschema.Heartbeat_Kind) *hsschema.Heartbeat {
	r.resetOutput()
	r.addHeartbeat("", kind, 0, "")
	hb := r.out.Heartbeats[0].Message
	r.resetOutput()
	return hb
}

// SetStoreUnavailable sets whether this host's heartbeats report that the store
// is unavailable to it. If that changed, it notifies members at once.
func (r *Roster) SetStoreUnavailable(now time.Time, unavailable bool) Output {
	r.resetOutput()
	if r.storeUnavailable != unavailable {
		r.storeUnavailable = unavailable
		r.notifyMembers(now)
	}
	return r.out
}

// admit returns the member with the given name. Where there is no host list, it
// adds an unknown host, up to Config.MaxMembers members. It returns nil for
// this host itself and for a host that is not a member.
func (r *Roster) admit(now time.Time, name string) *member {
	if m := r.members[name]; m != nil || name == r.cfg.Self || name == "" || len(r.members) >= r.cfg.MaxMembers {
		return m
	}
	m := &member{name: name, state: Alive, stateSince: now, lastHeard: now}
	r.members[name] = m
	r.sorted = nil
	r.probeOrder = append(r.probeOrder, name)
	r.out.MembershipChanged = true
	return m
}

// removeDead removes members that have been dead for longer than deadRetention,
// except seeds. It does nothing if a host list determines the members.
func (r *Roster) removeDead(now time.Time) {
	if r.cfg.MaxMembers == 0 {
		return
	}
	for name, m := range r.members {
		if m.state == Dead && !m.seed && now.Sub(m.stateSince) > deadRetention {
			delete(r.members, name)
			r.sorted = nil
		}
	}
}

// SetManifest sets the version and digest of this host's current manifest and
// the digest of its placement history, which heartbeats carry. It notifies
// members at once, since waiting for the next probes would delay the change.
func (r *Roster) SetManifest(now time.Time, version, digest, history uint64) Output {
	r.resetOutput()
	r.version = version
	r.digest = digest
	r.historyDigest = history
	r.notifyMembers(now)
	return r.out
}

// SetState sets the position of the published state that this host holds, and
// the digest of its content, which heartbeats carry. Unlike SetManifest, it does
// not notify members at once.
func (r *Roster) SetState(era, revision, digest uint64) {
	r.era = era
	r.version = revision
	r.historyDigest = digest
}

// SetHostCount sets the number of hosts that this host has heard of recently,
// itself included, which heartbeats carry.
func (r *Roster) SetHostCount(n uint32) { r.hostCount = n }

// SetHistoryDigest sets the digest of this host's placement history, which
// heartbeats carry.
func (r *Roster) SetHistoryDigest(history uint64) {
	r.historyDigest = history
}

// SetLoads sets the loads of the targets that this host owns, which pings
// carry.
func (r *Roster) SetLoads(loads []*hsschema.Load) {
	r.loads = loads
}

// Leave notifies members that this host has begun its planned stop.
func (r *Roster) Leave(now time.Time) Output {
	r.resetOutput()
	r.leaving = true
	r.notifyMembers(now)
	return r.out
}

// AnnounceExit notifies members that this process exits now.
func (r *Roster) AnnounceExit(now time.Time) Output {
	r.gone = true
	return r.Leave(now)
}

// ResumeAfterPause restarts all timeouts after a pause of this process, so that
// members are not suspected or declared dead for not having been heard during
// the pause.
func (r *Roster) ResumeAfterPause(now time.Time) Output {
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

// Status returns the status of each member and of this host, by name, for
// ranking.
func (r *Roster) Status() map[string]hsrank.MemberStatus {
	out := make(map[string]hsrank.MemberStatus, len(r.members)+1)
	for name, m := range r.members {
		out[name] = hsrank.MemberStatus{Alive: m.state != Dead, Leaving: m.state == Leaving}
	}
	out[r.cfg.Self] = hsrank.MemberStatus{Alive: true, Leaving: r.leaving}
	return out
}

// Tick sends due probes and handles expired timeouts. Call it at least four
// times per probe interval.
func (r *Roster) Tick(now time.Time) Output {
	r.resetOutput()
	r.checkProbes(now)
	r.checkSuspects(now)
	if now.Sub(r.lastProbe) >= r.cfg.ProbeInterval {
		r.lastProbe = now
		for range min(fanout, len(r.members)) {
			r.probeNext(now)
		}
		r.probeDead()
	}
	r.removeDead(now)
	for seq, rl := range r.relays {
		if now.Sub(rl.sentAt) > r.cfg.SuspectTimeout {
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

// probeNext probes the next member that is not dead. The order is shuffled
// after each pass over the members, so that a pass probes every member once.
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

// probeDead pings one dead member, chosen at random, so that after a partition
// heals or a member returns, both sides notice. The ping is not recorded in
// probes, since nothing follows if it is not answered.
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

// notifyMembers pings all members that are not dead, or at most maxNotified
// members chosen at random where there is no host list. The pings carry this
// host's rumors and state.
func (r *Roster) notifyMembers(now time.Time) {
	names := make([]string, 0, len(r.members))
	for name := range r.members {
		names = append(names, name)
	}
	slices.Sort(names)
	if r.cfg.MaxMembers > 0 && len(names) > maxNotified {
		r.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:maxNotified]
	}
	for _, name := range names {
		if r.members[name].state != Dead {
			r.ping(now, name)
		}
	}
}

// checkProbes asks other members to probe a member that has not answered within
// a third of the probe interval, and suspects it if no answer, direct or
// indirect, arrives within the interval.
func (r *Roster) checkProbes(now time.Time) {
	for _, seq := range sortedKeys(r.probes) {
		p := r.probes[seq]
		age := now.Sub(p.sentAt)
		if age >= r.cfg.ProbeInterval {
			delete(r.probes, seq)
			r.suspect(now, p)
			continue
		}
		if age >= r.cfg.ProbeInterval/3 && !p.indirect {
			p.indirect = true
			r.requestProbes(seq, p.to)
		}
	}
}

// requestProbes asks relayCount alive members, chosen at random, to probe the
// member named about.
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

// suspect marks the member of a failed probe as suspect, unless it has shown
// since the probe that it is alive.
func (r *Roster) suspect(now time.Time, p *probe) {
	m := r.members[p.to]
	if m == nil || m.lastHeard.After(p.sentAt) || (m.state != Alive && m.state != Leaving) {
		return
	}
	r.setState(now, m, Suspect)
	r.notifyMembers(now)
}

// checkSuspects declares suspects dead that did not answer in time. It notifies
// members at once, so that they do not have to detect the failure themselves.
func (r *Roster) checkSuspects(now time.Time) {
	died := false
	for _, m := range r.sortedMembers() {
		if m.state != Suspect {
			continue
		}
		if now.Sub(m.stateSince) >= r.cfg.SuspectTimeout {
			r.setState(now, m, Dead)
			died = true
			continue
		}
		// Ping the suspect on every tick, so that it is not declared dead
		// because a lossy link dropped a few messages.
		r.seq++
		r.addHeartbeat(m.name, hsschema.Heartbeat_KIND_PING, r.seq, "")
	}
	if died {
		r.notifyMembers(now)
	}
}

func (r *Roster) setState(now time.Time, m *member, s State) {
	if m.state == s {
		return
	}
	// Ranking treats a suspect as alive.
	if rankingState(m.state) != rankingState(s) {
		r.out.MembershipChanged = true
	}
	m.state = s
	m.stateSince = now
	m.spreadCount = 0
}

// sortedMembers returns all members, sorted by name. The result is valid until a
// member is added or removed.
func (r *Roster) sortedMembers() []*member {
	if r.sorted == nil {
		r.sorted = make([]*member, 0, len(r.members))
		for _, m := range r.members {
			r.sorted = append(r.sorted, m)
		}
		slices.SortFunc(r.sorted, func(a, b *member) int { return cmp.Compare(a.name, b.name) })
	}
	return r.sorted
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
