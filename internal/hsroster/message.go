package hsroster

import (
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// Receive takes a heartbeat whose MAC was verified. It returns a code other
// than OK if the message was dropped.
func (r *Roster) Receive(now time.Time, hb *hsschema.Heartbeat) (Output, hscode.Code) {
	r.begin()
	m := r.admit(now, hb.GetFrom())
	if m == nil {
		return r.out, hscode.PeerUnknown
	}
	if r.old(now, m, hb) {
		return r.out, hscode.PeerOldBoot
	}
	started := hb.GetBoot() != m.boot
	r.heardFrom(now, m, hb)
	r.rumors(now, hb)
	switch hb.GetKind() {
	case hsschema.Heartbeat_KIND_PING:
		r.send(m.name, hsschema.Heartbeat_KIND_ACK, hb.GetSeq(), "")
		if started && r.cfg.Admit > 0 {
			r.welcome()
		}
	case hsschema.Heartbeat_KIND_UPDATE, hsschema.Heartbeat_KIND_LOADS:
	case hsschema.Heartbeat_KIND_ACK:
		r.acked(now, hb)
	case hsschema.Heartbeat_KIND_PROBE:
		r.relayProbe(now, hb)
	default:
		return r.out, hscode.PeerMessage
	}
	return r.out, hscode.OK
}

// old reports whether a message is of an earlier boot. Where boot numbers come
// from a clock that may be set back, a lower one is believed once the higher
// one has been silent for long enough to be dead.
func (r *Roster) old(now time.Time, m *member, hb *hsschema.Heartbeat) bool {
	if hb.GetBoot() >= m.boot {
		return false
	}
	return r.cfg.Admit == 0 || now.Sub(m.heard) <= r.cfg.Probe+r.cfg.Suspect
}

// welcome adds what a host that has just started should know to the answer
// that was written last: the members alive.
func (r *Roster) welcome() {
	hb := r.out.Sends[len(r.out.Sends)-1].Message
	for _, name := range sortedKeys(r.members) {
		m := r.members[name]
		if len(hb.GetRumors()) >= welcomeRumors {
			return
		}
		if m.state == Alive && m.boot > 0 {
			hb.Rumors = append(hb.Rumors, &hsschema.Rumor{Host: name, Boot: m.boot, Refute: m.refute, State: rumorState(m.state)})
		}
	}
}

// heardFrom notes that the member itself spoke, which proves it alive.
func (r *Roster) heardFrom(now time.Time, m *member, hb *hsschema.Heartbeat) {
	if hb.GetBoot() != m.boot {
		m.boot = hb.GetBoot()
		m.refute = 0
		r.spreadAgain()
	}
	m.heard = now
	m.version = hb.GetVersion()
	m.digest = hb.GetDigest()
	m.zone = hb.GetZone()
	m.refused = hb.GetRefused()
	switch {
	case hb.GetGone():
		r.set(now, m, Dead)
	case hb.GetLeaving():
		r.set(now, m, Leaving)
	default:
		r.set(now, m, Alive)
	}
	if m.version > r.version || (m.version == r.version && m.digest > r.digest) {
		r.out.Newer = m.name
	} else if m.version == r.version && hb.GetHistory() != r.history {
		r.out.Differs = m.name
	}
}

// spreadAgain spreads anew what is known of members that are not alive, since
// a member that has just started missed it and would take them for alive.
func (r *Roster) spreadAgain() {
	for _, m := range r.members {
		if m.state != Alive {
			m.spread = 0
		}
	}
}

// acked ends a probe, or passes the answer to an indirect one on.
func (r *Roster) acked(now time.Time, hb *hsschema.Heartbeat) {
	if about := hb.GetAbout(); about != "" {
		if m := r.members[about]; m != nil && m.state != Dead {
			m.heard = now
			if m.state == Suspect {
				r.set(now, m, Alive)
			}
		}
		delete(r.probes, hb.GetSeq())
		return
	}
	if rl, ok := r.relays[hb.GetSeq()]; ok {
		delete(r.relays, hb.GetSeq())
		r.send(rl.asker, hsschema.Heartbeat_KIND_ACK, rl.seq, hb.GetFrom())
		return
	}
	delete(r.probes, hb.GetSeq())
}

func (r *Roster) relayProbe(now time.Time, hb *hsschema.Heartbeat) {
	if r.members[hb.GetAbout()] == nil {
		return
	}
	r.seq++
	r.relays[r.seq] = relay{asker: hb.GetFrom(), seq: hb.GetSeq(), at: now}
	r.send(hb.GetAbout(), hsschema.Heartbeat_KIND_PING, r.seq, "")
}

// rumors takes what others hold about members. What this host heard itself
// since is better evidence than a rumor.
func (r *Roster) rumors(now time.Time, hb *hsschema.Heartbeat) {
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
		r.rumor(now, m, rumor)
	}
}

func (r *Roster) rumor(now time.Time, m *member, rumor *hsschema.Rumor) {
	fresh := m.boot > 0 && now.Sub(m.heard) < r.cfg.Suspect
	switch rumor.GetState() {
	case hsschema.Rumor_STATE_ALIVE:
		if rumor.GetRefute() > m.refute {
			m.refute = rumor.GetRefute()
			if m.state == Suspect {
				r.set(now, m, Alive)
			}
		}
	case hsschema.Rumor_STATE_SUSPECT:
		if !fresh && m.state == Alive && rumor.GetRefute() >= m.refute {
			r.set(now, m, Suspect)
		}
	case hsschema.Rumor_STATE_DEAD:
		if !fresh && m.state != Dead && rumor.GetRefute() >= m.refute {
			r.set(now, m, Dead)
		}
	case hsschema.Rumor_STATE_LEAVING:
		if m.state == Alive && rumor.GetBoot() == m.boot {
			r.set(now, m, Leaving)
		}
	}
}

// refuteRumor answers a suspicion about this host with a higher refute number.
func (r *Roster) refuteRumor(now time.Time, rumor *hsschema.Rumor) {
	bad := rumor.GetState() == hsschema.Rumor_STATE_SUSPECT || rumor.GetState() == hsschema.Rumor_STATE_DEAD
	if !bad || rumor.GetBoot() > r.cfg.Boot || rumor.GetRefute() < r.refute {
		return
	}
	r.refute = rumor.GetRefute() + 1
	r.tellAll(now)
}

func (r *Roster) send(to string, kind hsschema.Heartbeat_Kind, seq uint64, about string) {
	hb := &hsschema.Heartbeat{
		Kind:    kind,
		From:    r.cfg.Self,
		Boot:    r.cfg.Boot,
		Seq:     seq,
		About:   about,
		Version: r.version,
		Digest:  r.digest,
		History: r.history,
		Leaving: r.leaving,
		Gone:    r.gone,
		Rumors:  r.pickRumors(),
		Zone:    r.cfg.Zone,
		Refused: r.refused,
	}
	// An ack follows at once on the other's message; a ping's loads suffice.
	if kind == hsschema.Heartbeat_KIND_PING {
		hb.Loads = r.loads
	}
	r.out.Sends = append(r.out.Sends, Send{To: to, Message: hb})
}

// pickRumors returns the changes that were spread least.
func (r *Roster) pickRumors() []*hsschema.Rumor {
	var fresh []*member
	for _, name := range sortedKeys(r.members) {
		if m := r.members[name]; m.spread < spreadTimes {
			fresh = append(fresh, m)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *member) int { return a.spread - b.spread })
	var out []*hsschema.Rumor
	if r.refute > 0 {
		out = append(out, &hsschema.Rumor{Host: r.cfg.Self, Boot: r.cfg.Boot, Refute: r.refute, State: hsschema.Rumor_STATE_ALIVE})
	}
	for _, m := range fresh[:min(len(fresh), maxRumors)] {
		m.spread++
		out = append(out, &hsschema.Rumor{Host: m.name, Boot: m.boot, Refute: m.refute, State: rumorState(m.state)})
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
