package hsdirect

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hshttp"
	"heatherstack.org/heatherstack/internal/hsschema"
	"heatherstack.org/heatherstack/internal/hsschema/hsschemaconnect"
	"heatherstack.org/heatherstack/internal/hstask"
)

// callServer answers the calls of members.
type callServer struct {
	e *Entry
}

const (
	// callTimeout bounds a call between hosts: many times the way there and
	// back, and a fraction of the time in which a configuration has to be in
	// force, so that another member can still be asked.
	callTimeout = 600 * time.Millisecond
	// callsAtOnce bounds the calls under way, so that one to a member that does
	// not answer delays no other.
	callsAtOnce = 3
)

// runFetcher asks members for what changed.
func (e *Entry) runFetcher(ctx context.Context) error {
	// Calls are rare, and a connection that went silent must not be met again.
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(callsAtOnce)
	for {
		select {
		case f := <-e.toFetcher:
			g.Go(func() error {
				e.fetch(ctx, client, f)
				return nil
			})
		case <-ctx.Done():
			return g.Wait()
		}
	}
}

func (e *Entry) fetch(ctx context.Context, client *http.Client, f Fetch) {
	u, err := e.follow(ctx, client, f)
	if err != nil {
		if ctx.Err() == nil {
			e.log(log.WarnLevel, hscode.PeerFetch).Str("from", f.From.String()).Err(err).Msg("changes not fetched")
		}
		return
	}
	if u == nil {
		return
	}
	select {
	case e.toControl <- controlMessage{update: u, peer: true}:
	case <-ctx.Done():
	}
}

// follow returns nil if the member has nothing newer.
func (e *Entry) follow(ctx context.Context, client *http.Client, f Fetch) (*hsfeed.Update, error) {
	url := "http://" + netip.AddrPortFrom(f.From, e.cfg.Settings.Peer).String()
	req := connect.NewRequest(&hsschema.FollowRequest{Since: f.Since})
	res, err := hsschemaconnect.NewFeedClient(client, url).Follow(ctx, req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if res.Msg.GetUpdate() == nil {
		return nil, nil
	}
	u, ok := hsfeed.Unpack(res.Msg.GetUpdate())
	if !ok {
		return nil, hscode.New(hscode.PeerMessage, f.From.String(), "sent an update that is not valid")
	}
	return &u, nil
}

func (e *Entry) runCalls(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, e.serveMetrics)
	mux.Handle(hsschemaconnect.NewFeedHandler(&callServer{e: e}))
	return hshttp.Serve(ctx, e.sockets.calls, mux)
}

// Follow implements the Feed service.
func (s *callServer) Follow(
	ctx context.Context, req *connect.Request[hsschema.FollowRequest],
) (*connect.Response[hsschema.FollowResponse], error) {
	answer := make(chan *hsschema.Update, 1)
	u, ok := hstask.Ask(ctx, s.e.toControl, controlMessage{follow: answer, since: req.Msg.GetSince()}, answer)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
	return connect.NewResponse(&hsschema.FollowResponse{Update: u}), nil
}
