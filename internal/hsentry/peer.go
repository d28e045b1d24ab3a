package hsentry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hshttp"
	"heatherstack.org/heatherstack/internal/hskey"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsowner"
	"heatherstack.org/heatherstack/internal/hsschema"
	"heatherstack.org/heatherstack/internal/hsschema/hsschemaconnect"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// callMessage makes the client task call a peer.
	callMessage struct {
		to netip.Addr
		// Flows to hand over.
		flows []hsowner.FlowEntry
		// If set, fetch the peer's current manifest instead.
		fetch bool
		// For a fetch: the peer answers only if its manifest has at least this
		// version.
		version uint64
	}

	// peerServer answers the calls of peers.
	peerServer struct {
		host *EntryHost
		// Holds the key ring while no handler uses it; a ring is not safe for
		// concurrent use.
		ring chan *hskey.Ring
	}

	// peerClient is the state of the client task.
	peerClient struct {
		host *EntryHost
		http *http.Client
		ring *hskey.Ring
	}
)

const (
	callTimeout        = 2 * time.Second
	handoverAttempts   = 3
	handoverRetryDelay = 50 * time.Millisecond
	macHeader          = "Heatherstack-Mac"
)

func (e *EntryHost) runClient(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	p := &peerClient{host: e, http: &http.Client{Timeout: callTimeout}, ring: ring}
	defer p.http.CloseIdleConnections()
	for {
		select {
		case m := <-e.toClient:
			p.call(ctx, &m)
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *peerClient) call(ctx context.Context, m *callMessage) {
	if m.fetch {
		if err := p.fetch(ctx, m); err != nil && ctx.Err() == nil {
			p.host.log(log.WarnLevel, hscode.PeerFetch).Str("to", m.to.String()).Err(err).Msg("manifest fetch failed")
		}
		return
	}
	var err error
	for range handoverAttempts {
		if err = p.handOver(ctx, m); err == nil || ctx.Err() != nil {
			return
		}
		hstask.Sleep(ctx, handoverRetryDelay)
	}
	p.host.log(log.WarnLevel, hscode.PeerHandover).Str("to", m.to.String()).Err(err).Msg("handover failed")
}

func (p *peerClient) rpcClient(to netip.Addr) hsschemaconnect.PeerClient {
	url := "http://" + netip.AddrPortFrom(to, p.host.cfg.Settings.PeerPort).String()
	return hsschemaconnect.NewPeerClient(p.http, url)
}

func (p *peerClient) handOver(ctx context.Context, m *callMessage) error {
	msg := &hsschema.HandoverRequest{From: p.host.cfg.Settings.Name, Boot: p.host.cfg.Boot}
	for i := range m.flows {
		msg.Entries = append(msg.Entries, packFlow(&m.flows[i]))
	}
	req := connect.NewRequest(msg)
	setMAC(p.ring, req.Header(), msg)
	_, err := p.rpcClient(m.to).Handover(ctx, req)
	return errors.Trace(err)
}

func (p *peerClient) fetch(ctx context.Context, m *callMessage) error {
	msg := &hsschema.FetchRequest{Version: m.version}
	req := connect.NewRequest(msg)
	setMAC(p.ring, req.Header(), msg)
	res, err := p.rpcClient(m.to).Fetch(ctx, req)
	if err != nil {
		return errors.Trace(err)
	}
	if len(res.Msg.GetManifest()) == 0 {
		return nil
	}
	return p.host.offer(ctx, res.Msg.GetManifest(), unpackHistory(res.Msg.GetGenerations()))
}

func (e *EntryHost) runServer(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	s := &peerServer{host: e, ring: make(chan *hskey.Ring, 1)}
	s.ring <- ring
	mux := http.NewServeMux()
	mux.Handle(hsschemaconnect.NewPeerHandler(s))
	return hshttp.Serve(ctx, e.sockets.peer, mux)
}

// Handover implements the Peer service.
func (s *peerServer) Handover(
	ctx context.Context, req *connect.Request[hsschema.HandoverRequest],
) (*connect.Response[hsschema.HandoverResponse], error) {
	if err := s.verify(req.Header(), req.Msg); err != nil {
		return nil, err
	}
	flows := make([]hsowner.FlowEntry, 0, len(req.Msg.GetEntries()))
	for _, entry := range req.Msg.GetEntries() {
		if flow, ok := unpackFlow(entry); ok {
			flows = append(flows, flow)
		}
	}
	accepted := make(chan bool, 1)
	m := switchMessage{input: hsowner.Input{Kind: hsowner.InHandover, Entries: flows}, accepted: accepted}
	if ready, ok := hstask.Call(ctx, s.host.toSwitch, m, accepted); !ok || !ready {
		return nil, connect.NewError(connect.CodeUnavailable, hscode.New(hscode.PeerHandover, "call", "host has no view yet or is stopping"))
	}
	return connect.NewResponse(&hsschema.HandoverResponse{Taken: uint32(len(flows))}), nil
}

// Fetch implements the Peer service.
func (s *peerServer) Fetch(
	ctx context.Context, req *connect.Request[hsschema.FetchRequest],
) (*connect.Response[hsschema.FetchResponse], error) {
	if err := s.verify(req.Header(), req.Msg); err != nil {
		return nil, err
	}
	cur, ok := s.host.currentManifest(ctx)
	out := &hsschema.FetchResponse{}
	if ok && cur.manifest != nil && cur.manifest.Version >= req.Msg.GetVersion() {
		out.Manifest = cur.manifest.JSON
		out.Generations = packHistory(cur.manifest, cur.history)
	}
	return connect.NewResponse(out), nil
}

// verify checks the MAC of a call.
func (s *peerServer) verify(h http.Header, msg proto.Message) error {
	ring := <-s.ring
	defer func() { s.ring <- ring }()
	if hasValidMAC(ring, h, msg) {
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated, hscode.New(hscode.PeerMAC, "call", "wrong MAC"))
}

// currentManifest gets the current manifest from the control task. It returns
// false if ctx ends first.
func (e *EntryHost) currentManifest(ctx context.Context) (currentManifest, bool) {
	answer := make(chan currentManifest, 1)
	return hstask.Call(ctx, e.toControl, controlMessage{kind: currentMessage, current: answer}, answer)
}

func packFlow(e *hsowner.FlowEntry) *hsschema.Entry {
	return &hsschema.Entry{
		Flow:   e.Flow[:],
		Target: uint64(e.Target),
		Isn:    e.TargetISN,
		Caller: e.CallerNextSeq,
		Reply:  e.TargetNextSeq,
	}
}

func unpackFlow(e *hsschema.Entry) (hsowner.FlowEntry, bool) {
	if len(e.GetFlow()) != hsflow.KeySize {
		return hsowner.FlowEntry{}, false
	}
	return hsowner.FlowEntry{
		Flow:          hsflow.Key(e.GetFlow()),
		Target:        hsmanifest.TargetID(e.GetTarget()),
		TargetISN:     e.GetIsn(),
		CallerNextSeq: e.GetCaller(),
		TargetNextSeq: e.GetReply(),
	}, true
}

func packHistory(m *hsmanifest.Manifest, h hsmanifest.History) []*hsschema.Generations {
	out := make([]*hsschema.Generations, 0, len(m.Services))
	for i := range m.Services {
		name := m.Services[i].Name
		gens := &hsschema.Generations{Service: name}
		for _, g := range h[name] {
			gens.Generations = append(gens.Generations, packGeneration(g))
		}
		out = append(out, gens)
	}
	return out
}

func packGeneration(g hsmanifest.Generation) *hsschema.Generation {
	out := &hsschema.Generation{Version: g.Version}
	for _, t := range g.Targets {
		out.Targets = append(out.Targets, uint64(t.ID))
		out.Weights = append(out.Weights, t.Weight)
	}
	return out
}

func unpackHistory(list []*hsschema.Generations) hsmanifest.History {
	out := make(hsmanifest.History, len(list))
	for _, s := range list {
		for _, g := range s.GetGenerations() {
			if len(g.GetWeights()) != len(g.GetTargets()) {
				continue
			}
			gen := hsmanifest.Generation{Version: g.GetVersion()}
			for i, id := range g.GetTargets() {
				gen.Targets = append(gen.Targets, hsmanifest.WeightedTarget{ID: hsmanifest.TargetID(id), Weight: g.GetWeights()[i]})
			}
			out[s.GetService()] = append(out[s.GetService()], gen)
		}
	}
	return out
}
