package hsdirect

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsroster"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// Updates reach the hosts of a zone through a relay tree, so that what a host
// sends for each change does not grow with the zone. Each host computes the
// tree from the members that it considers alive; no messages establish it. A
// reader is the root of a tree in its zone and sends each change to a few hosts
// of every other zone too, each of which is then a root in its own. Hosts below
// a dead host, or whose views of the members differ, miss an update; they
// notice from the position in the next heartbeat that reaches them, and fetch
// it.

const (
	// relayFanout is the number of hosts to which a host of the tree sends an
	// update. With 4, three hops reach 84 hosts.
	relayFanout = 4
	// maxRemoteContacts is the number of hosts in each other zone that a reader
	// sends an update to: one of them may be dead.
	maxRemoteContacts = 2
	// maxRelayRoots limits the roots for which the last relayed position is kept.
	maxRelayRoots = 64
)

// pushChanges sends the changes after a position into the relay tree of this
// host's zone and to a few hosts of each other zone.
func (c *Core) pushChanges(since hsfeed.Position) {
	u, ok := c.state.UpdateSince(since)
	if !ok {
		return
	}
	update := inlineUpdate(&u)
	peers := c.alivePeers()
	c.relayUpdate(c.self, update, peers)
	hb := c.newUpdate("", update)
	contacts := map[string]int{}
	for _, p := range peers {
		if p.Zone != c.cfg.Zone && contacts[p.Zone] < maxRemoteContacts {
			contacts[p.Zone]++
			c.send(p.Name, hb)
		}
	}
}

// inlineUpdate returns the update in the form in which a heartbeat carries it, or
// nil if it is too large. The heartbeat then only announces the position, and
// its receivers fetch the changes.
func inlineUpdate(u *hsfeed.Update) *hsschema.Update {
	if out := hsfeed.ToProto(u); proto.Size(out) <= maxInlineUpdateSize {
		return out
	}
	return nil
}

// relayReceived passes an update of another host on in the relay tree. An update
// that is only announced is passed on once this host has it.
func (c *Core) relayReceived(hb *hsschema.Heartbeat) {
	root := hb.GetRoot()
	if root == "" {
		root = c.self
	}
	p := c.peerPosition(hb.GetEra(), hb.GetVersion())
	if u := hb.GetUpdate(); u != nil {
		p = c.peerPosition(u.GetEra(), u.GetRevision())
	}
	if !p.After(c.relayed[root]) {
		return
	}
	if hb.GetUpdate() == nil && p.After(c.state.Position()) {
		c.awaitedRoot, c.awaitedPosition = root, p
		return
	}
	c.markRelayed(root, p)
	c.relayUpdate(root, hb.GetUpdate(), c.alivePeers())
}

// relayFetched passes on the update that was announced to this host, once the
// host has fetched it.
func (c *Core) relayFetched() {
	if c.awaitedPosition == (hsfeed.Position{}) || c.awaitedPosition.After(c.state.Position()) {
		return
	}
	c.markRelayed(c.awaitedRoot, c.awaitedPosition)
	c.awaitedPosition = hsfeed.Position{}
	c.relayUpdate(c.awaitedRoot, nil, c.alivePeers())
}

func (c *Core) markRelayed(root string, p hsfeed.Position) {
	if len(c.relayed) >= maxRelayRoots {
		clear(c.relayed)
	}
	c.relayed[root] = p
}

// relayUpdate sends an update to this host's children in the tree of a root. If
// update is nil, it announces the position.
func (c *Core) relayUpdate(root string, update *hsschema.Update, peers []hsroster.Peer) {
	children := c.relayChildren(root, peers)
	if len(children) == 0 {
		return
	}
	hb := c.newUpdate(root, update)
	for _, name := range children {
		c.send(name, hb)
	}
}

func (c *Core) newUpdate(root string, update *hsschema.Update) *hsschema.Heartbeat {
	hb := c.roster.NewMessage(hsschema.Heartbeat_KIND_UPDATE)
	hb.Root = root
	hb.Update = update
	return hb
}

// relayChildren returns this host's children in the tree of a root: the hosts of
// the zone form a complete tree in an order that depends on the root, so that
// the inner hosts differ between roots.
func (c *Core) relayChildren(root string, peers []hsroster.Peer) []string {
	type position struct {
		name string
		hash uint64
	}
	order := []position{}
	add := func(name string) {
		if name != root {
			order = append(order, position{name: name, hash: xxhash.Sum64String(root + " " + name)})
		}
	}
	add(c.self)
	for _, p := range peers {
		if p.Zone == c.cfg.Zone {
			add(p.Name)
		}
	}
	slices.SortFunc(order, func(a, b position) int { return cmp.Compare(a.hash, b.hash) })
	// The root has position 0, the others follow.
	self := 1 + slices.IndexFunc(order, func(p position) bool { return p.name == c.self })
	first := relayFanout * self
	var out []string
	for i := first; i < min(first+relayFanout, len(order)); i++ {
		out = append(out, order[i].name)
	}
	return out
}

func (c *Core) alivePeers() []hsroster.Peer {
	return slices.DeleteFunc(c.roster.Peers(), func(p hsroster.Peer) bool { return !p.Alive })
}
