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
	"heatherstack.org/heatherstack/internal/hshome"
	"heatherstack.org/heatherstack/internal/hshttp"
	"heatherstack.org/heatherstack/internal/hskey"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsschema"
	"heatherstack.org/heatherstack/internal/hsschema/hsschemaconnect"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// callMessage asks the caller task to call a peer.
	callMessage struct {
		to netip.Addr
		// Flows to hand over.
		entries []hshome.Entry
		// If set, fetch a manifest newer than version instead.
		fetch   bool
		version uint64
	}

	// peerServer answers the calls of peers.
	peerServer struct {
		e    *Entry
		ring chan *hskey.Ring
	}

	// peerCaller is the state of the caller task.
	peerCaller struct {
		e    *Entry
		http *http.Client
		ring *hskey.Ring
	}
)

const (
	callTimeout   = 2 * time.Second
	handoverTries = 3
	handoverPause = 50 * time.Millisecond
	macHeader     = "Heatherstack-Mac"
)

func (e *Entry) runCaller(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	p := &peerCaller{e: e, http: &http.Client{Timeout: callTimeout}, ring: ring}
	defer p.http.CloseIdleConnections()
	for {
		select {
		case m := <-e.toCaller:
			p.call(ctx, &m)
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *peerCaller) call(ctx context.Context, m *callMessage) {
	if m.fetch {
		if err := p.fetch(ctx, m); err != nil && ctx.Err() == nil {
			p.e.log(log.WarnLevel, hscode.PeerFetch).Str("to", m.to.String()).Err(err).Msg("fetch failed")
		}
		return
	}
	var err error
	for range handoverTries {
		if err = p.handOver(ctx, m); err == nil || ctx.Err() != nil {
			return
		}
		hstask.Sleep(ctx, handoverPause)
	}
	p.e.log(log.WarnLevel, hscode.PeerHandover).Str("to", m.to.String()).Err(err).Msg("handover failed")
}

func (p *peerCaller) client(to netip.Addr) hsschemaconnect.PeerClient {
	url := "http://" + netip.AddrPortFrom(to, p.e.cfg.Settings.Peer).String()
	return hsschemaconnect.NewPeerClient(p.http, url)
}

func (p *peerCaller) handOver(ctx context.Context, m *callMessage) error {
	msg := &hsschema.HandoverRequest{From: p.e.cfg.Settings.Name, Boot: p.e.cfg.Boot}
	for i := range m.entries {
		msg.Entries = append(msg.Entries, packEntry(&m.entries[i]))
	}
	req := connect.NewRequest(msg)
	sign(p.ring, req.Header(), msg)
	_, err := p.client(m.to).Handover(ctx, req)
	return errors.Trace(err)
}

func (p *peerCaller) fetch(ctx context.Context, m *callMessage) error {
	msg := &hsschema.FetchRequest{Version: m.version}
	req := connect.NewRequest(msg)
	sign(p.ring, req.Header(), msg)
	res, err := p.client(m.to).Fetch(ctx, req)
	if err != nil {
		return errors.Trace(err)
	}
	if len(res.Msg.GetManifest()) == 0 {
		return nil
	}
	return p.e.offer(ctx, res.Msg.GetManifest(), unpackHistory(res.Msg.GetGenerations()))
}

func (e *Entry) runServer(ctx context.Context) error {
	ring, err := hskey.NewRing(e.cfg.Settings.Key, e.cfg.Settings.OldKey)
	if err != nil {
		return errors.Trace(err)
	}
	s := &peerServer{e: e, ring: make(chan *hskey.Ring, 1)}
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
	entries := make([]hshome.Entry, 0, len(req.Msg.GetEntries()))
	for _, p := range req.Msg.GetEntries() {
		if entry, ok := unpackEntry(p); ok {
			entries = append(entries, entry)
		}
	}
	taken := make(chan bool, 1)
	m := switchMessage{input: hshome.Input{Kind: hshome.InEntries, Entries: entries}, taken: taken}
	if ready, ok := hstask.Ask(ctx, s.e.toSwitch, m, taken); !ok || !ready {
		return nil, connect.NewError(connect.CodeUnavailable, hscode.New(hscode.PeerHandover, "call", "not ready"))
	}
	return connect.NewResponse(&hsschema.HandoverResponse{Taken: uint32(len(entries))}), nil
}

// Fetch implements the Peer service.
func (s *peerServer) Fetch(
	ctx context.Context, req *connect.Request[hsschema.FetchRequest],
) (*connect.Response[hsschema.FetchResponse], error) {
	if err := s.verify(req.Header(), req.Msg); err != nil {
		return nil, err
	}
	now, ok := s.e.current(ctx)
	out := &hsschema.FetchResponse{}
	if ok && now.manifest != nil && now.manifest.Version >= req.Msg.GetVersion() {
		out.Manifest = now.manifest.Source
		out.Generations = packHistory(now.manifest, now.history)
	}
	return connect.NewResponse(out), nil
}

// verify checks the MAC of a call.
func (s *peerServer) verify(h http.Header, msg proto.Message) error {
	ring := <-s.ring
	defer func() { s.ring <- ring }()
	if checkSigned(ring, h, msg) {
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated, hscode.New(hscode.PeerMAC, "call", "wrong MAC"))
}

// current asks the control task for the manifest in force.
func (e *Entry) current(ctx context.Context) (current, bool) {
	answer := make(chan current, 1)
	return hstask.Ask(ctx, e.toControl, controlMessage{kind: currentMessage, current: answer}, answer)
}

func packEntry(e *hshome.Entry) *hsschema.Entry {
	return &hsschema.Entry{
		Flow:   e.Flow[:],
		Target: uint64(e.Target),
		Isn:    e.ISN,
		Caller: e.Caller,
		Reply:  e.Reply,
	}
}

func unpackEntry(e *hsschema.Entry) (hshome.Entry, bool) {
	if len(e.GetFlow()) != hsflow.KeySize {
		return hshome.Entry{}, false
	}
	return hshome.Entry{
		Flow:   hsflow.Key(e.GetFlow()),
		Target: hsmanifest.TargetID(e.GetTarget()),
		ISN:    e.GetIsn(),
		Caller: e.GetCaller(),
		Reply:  e.GetReply(),
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
	for _, m := range g.Members {
		out.Targets = append(out.Targets, uint64(m.ID))
		out.Weights = append(out.Weights, m.Weight)
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
				gen.Members = append(gen.Members, hsmanifest.Member{ID: hsmanifest.TargetID(id), Weight: g.GetWeights()[i]})
			}
			out[s.GetService()] = append(out[s.GetService()], gen)
		}
	}
	return out
}
