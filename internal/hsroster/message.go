package hsroster

import (
	"cmp"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// Receive handles a heartbeat; the caller has verified its MAC. It returns a
// code other than OK if it dropped the message.
func (r *Roster) Receive(now time.Time, hb *hsschema.Heartbeat) (Output, hscode.Code) {
	r.resetOutput()
	m := r.admit(now, hb.GetFrom())
	if m == nil {
		return r.out, hscode.PeerUnknown
	}
	if r.isOldBoot(now, m, hb) {
		r.answerOldBoot(m)
		return r.out, hscode.PeerOldBoot
	}
	r.updateSender(now, m, hb)
	r.handleRumors(now, hb)
	switch hb.GetKind() {
	case hsschema.Heartbeat_KIND_PING:
		r.addHeartbeat(m.name, hsschema.Heartbeat_KIND_ACK, hb.GetSeq(), "")
		if r.cfg.MaxMembers > 0 {
			r.introduceMembers(m)
		}
	case hsschema.Heartbeat_KIND_UPDATE, hsschema.Heartbeat_KIND_LOADS:
	case hsschema.Heartbeat_KIND_ACK:
		r.handleAck(now, hb)
	case hsschema.Heartbeat_KIND_PROBE:
		r.relayProbe(now, hb)
	default:
		return r.out, hscode.PeerMessage
	}
	return r.out, hscode.OK
}

// isOldBoot reports whether a message is from an earlier boot of its sender, so
// that it has to be dropped. Where there is no host list, boot numbers come
// from a clock that may be set back; a lower boot number is then accepted once
// nothing was heard from the higher one for the time after which a member is
// declared dead.
func (r *Roster) isOldBoot(now time.Time, m *member, hb *hsschema.Heartbeat) bool {
	if hb.GetBoot() >= m.boot {
		return false
	}
	return r.cfg.MaxMembers == 0 || now.Sub(m.lastHeard) <= r.cfg.ProbeInterval+r.cfg.SuspectTimeout
}

// answerOldBoot tells the sender of a dropped message which boot of it is known;
// see refuteRumor. The answer to a replayed message does no harm.
func (r *Roster) answerOldBoot(m *member) {
	if r.cfg.MaxMembers > 0 {
		return
	}
	r.addHeartbeat(m.name, hsschema.Heartbeat_KIND_ACK, 0, "")
	hb := r.out.Heartbeats[len(r.out.Heartbeats)-1].Message
	hb.Rumors = append(hb.Rumors, &hsschema.Rumor{Host: m.name, Boot: m.boot, Refute: m.incarnation, State: hsschema.Rumor_STATE_DEAD})
}

// introduceMembers adds rumors about alive members to the last heartbeat in the
// output, which answers a ping of m: many of them in the first answer since its
// start, a few in any other one. Members in its zone come first, since it needs
// to know these most. It may have missed the rumors of their start.
func (r *Roster) introduceMembers(m *member) {
	limit := maxAckIntroductions
	if !m.introduced {
		m.introduced = true
		limit = maxNewBootRumors
	}
	hb := r.out.Heartbeats[len(r.out.Heartbeats)-1].Message
	for _, sameZone := range []bool{true, false} {
		for _, i := range r.rng.Perm(len(r.probeOrder)) {
			if len(hb.GetRumors()) >= limit {
				return
			}
			other := r.members[r.probeOrder[i]]
			if other == nil || other == m || other.state != Alive || other.boot == 0 || (other.zone == m.zone) != sameZone {
				continue
			}
			hb.Rumors = append(hb.Rumors, &hsschema.Rumor{Host: other.name, Boot: other.boot, Refute: other.incarnation, State: rumorState(other.state)})
		}
	}
}

// updateSender updates the sender of a heartbeat. The heartbeat proves that the
// sender is alive, whatever rumors say, unless it announces the sender's exit.
func (r *Roster) updateSender(now time.Time, m *member, hb *hsschema.Heartbeat) {
	if hb.GetBoot() != m.boot {
		m.boot = hb.GetBoot()
		m.incarnation = 0
		m.introduced = false
		r.resetSpreadCounts()
	}
	m.lastHeard = now
	m.version = hb.GetVersion()
	m.digest = hb.GetDigest()
	m.zone = hb.GetZone()
	m.storeUnavailable = hb.GetRefused()
	switch {
	case hb.GetGone():
		r.setState(now, m, Dead)
	case hb.GetLeaving():
		r.setState(now, m, Leaving)
	default:
		r.setState(now, m, Alive)
	}
	r.compareState(m, hb)
}

// compareState compares the state that the sender of a heartbeat holds with this
// host's. A sender that does not know the era counts as in the same one.
func (r *Roster) compareState(m *member, hb *hsschema.Heartbeat) {
	order := cmp.Or(cmp.Compare(cmp.Or(hb.GetEra(), r.era), r.era), cmp.Compare(m.version, r.version))
	switch {
	case order > 0 || (order == 0 && m.digest > r.digest):
		r.out.NewerPeer = m.name
	case order == 0 && hb.GetHistory() != r.historyDigest:
		r.out.DivergentPeer = m.name
	}
}

// resetSpreadCounts makes the next heartbeats repeat the state of all members
// that are not alive: a host that has just started missed these rumors and
// would assume that the members are alive.
func (r *Roster) resetSpreadCounts() {
	for _, m := range r.members {
		if m.state != Alive {
			m.spreadCount = 0
		}
	}
}

// handleAck handles an ack. It answers either a probe that this host started,
// directly or through another member, or a ping that this host sent on behalf
// of another member; in the second case, handleAck forwards it to that member.
func (r *Roster) handleAck(now time.Time, hb *hsschema.Heartbeat) {
	if about := hb.GetAbout(); about != "" {
		if m := r.members[about]; m != nil && m.state != Dead {
			m.lastHeard = now
			if m.state == Suspect {
				r.setState(now, m, Alive)
			}
		}
		delete(r.probes, hb.GetSeq())
		return
	}
	if rl, ok := r.relays[hb.GetSeq()]; ok {
		delete(r.relays, hb.GetSeq())
		r.addHeartbeat(rl.requester, hsschema.Heartbeat_KIND_ACK, rl.seq, hb.GetFrom())
		return
	}
	delete(r.probes, hb.GetSeq())
}

// relayProbe pings a member on behalf of the sender of hb.
func (r *Roster) relayProbe(now time.Time, hb *hsschema.Heartbeat) {
	if r.members[hb.GetAbout()] == nil {
		return
	}
	r.seq++
	r.relays[r.seq] = relay{requester: hb.GetFrom(), seq: hb.GetSeq(), sentAt: now}
	r.addHeartbeat(hb.GetAbout(), hsschema.Heartbeat_KIND_PING, r.seq, "")
}

// handleRumors handles the rumors in a heartbeat. It ignores rumors about an
// earlier boot of a member.
func (r *Roster) handleRumors(now time.Time, hb *hsschema.Heartbeat) {
	for _, rumor := range hb.GetRumors() {
		if rumor.GetHost() == r.cfg.Self {
			r.refuteRumor(now, rumor)
			continue
		}
		m := r.members[rumor.GetHost()]
		if m == nil && rumor.GetState() == hsschema.Rumor_STATE_ALIVE {
			if m = r.admit(now, rumor.GetHost()); m != nil {
				r.ping(now, m.name)
			}
		}
		if m == nil || rumor.GetBoot() < m.boot {
			continue
		}
		r.applyRumor(now, m, rumor)
	}
}

// applyRumor applies a rumor about another member. It ignores a rumor that the
// member is suspect or dead if this host has heard from the member recently,
// which is better evidence than a rumor.
func (r *Roster) applyRumor(now time.Time, m *member, rumor *hsschema.Rumor) {
	heardRecently := m.boot > 0 && now.Sub(m.lastHeard) < r.cfg.SuspectTimeout
	switch rumor.GetState() {
	case hsschema.Rumor_STATE_ALIVE:
		if rumor.GetRefute() > m.incarnation {
			m.incarnation = rumor.GetRefute()
			if m.state == Suspect {
				r.setState(now, m, Alive)
			}
		}
	case hsschema.Rumor_STATE_SUSPECT:
		if !heardRecently && m.state == Alive && rumor.GetRefute() >= m.incarnation {
			r.setState(now, m, Suspect)
		}
	case hsschema.Rumor_STATE_DEAD:
		if !heardRecently && m.state != Dead && rumor.GetRefute() >= m.incarnation {
			r.setState(now, m, Dead)
		}
	case hsschema.Rumor_STATE_LEAVING:
		if m.state == Alive && rumor.GetBoot() == m.boot {
			r.setState(now, m, Leaving)
		}
	}
}

// refuteRumor refutes a rumor that this host is suspect or dead: it raises its
// incarnation number above the rumor's and notifies members. If the rumor is
// about a boot with a higher number, which only an earlier process of this host
// can have used, it first raises its boot number. Where there is no host list,
// messages are not signed, and isOldBoot accepts lower numbers instead.
func (r *Roster) refuteRumor(now time.Time, rumor *hsschema.Rumor) {
	isSuspicion := rumor.GetState() == hsschema.Rumor_STATE_SUSPECT || rumor.GetState() == hsschema.Rumor_STATE_DEAD
	if !isSuspicion {
		return
	}
	if rumor.GetBoot() > r.boot {
		if r.cfg.MaxMembers > 0 {
			return
		}
		r.boot = rumor.GetBoot() + 1
		r.incarnation = 0
		r.notifyMembers(now)
		return
	}
	if rumor.GetRefute() < r.incarnation {
		return
	}
	r.incarnation = rumor.GetRefute() + 1
	r.notifyMembers(now)
}

// addHeartbeat adds a heartbeat to the output.
func (r *Roster) addHeartbeat(to string, kind hsschema.Heartbeat_Kind, seq uint64, about string) {
	hb := &hsschema.Heartbeat{
		Kind:    kind,
		From:    r.cfg.Self,
		Boot:    r.boot,
		Seq:     seq,
		About:   about,
		Version: r.version,
		Digest:  r.digest,
		History: r.historyDigest,
		Leaving: r.leaving,
		Gone:    r.gone,
		Rumors:  r.pickRumors(),
		Zone:    r.cfg.Zone,
		Refused: r.storeUnavailable,
		Era:     r.era,
		Hosts:   r.hostCount,
	}
	// Acks carry no loads, since the pings of this host already do.
	if kind == hsschema.Heartbeat_KIND_PING {
		hb.Loads = r.loads
	}
	r.out.Heartbeats = append(r.out.Heartbeats, Heartbeat{To: to, Message: hb})
}

// pickRumors returns the rumors for one heartbeat: this host's own refutation,
// if any, and the state changes that were repeated least often so far.
func (r *Roster) pickRumors() []*hsschema.Rumor {
	var pending []*member
	for _, m := range r.sortedMembers() {
		if m.spreadCount < maxSpreads {
			pending = append(pending, m)
		}
	}
	slices.SortStableFunc(pending, func(a, b *member) int { return a.spreadCount - b.spreadCount })
	var out []*hsschema.Rumor
	if r.incarnation > 0 {
		out = append(out, &hsschema.Rumor{Host: r.cfg.Self, Boot: r.boot, Refute: r.incarnation, State: hsschema.Rumor_STATE_ALIVE})
	}
	for _, m := range pending[:min(len(pending), maxRumors)] {
		m.spreadCount++
		out = append(out, &hsschema.Rumor{Host: m.name, Boot: m.boot, Refute: m.incarnation, State: rumorState(m.state)})
	}
	return out
}

func rumorState(s State) hsschema.Rumor_State {
	switch s {
	case Suspect:
		return hsschema.Rumor_STATE_SUSPECT
	case Dead:
		return hsschema.Rumor_STATE_DEAD
	case Leaving:
		return hsschema.Rumor_STATE_LEAVING
	default:
		return hsschema.Rumor_STATE_ALIVE
	}
}
