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

// feedServer answers Feed calls from peers.
type feedServer struct {
	e *EntryHost
}

const (
	// progressTimeout limits the time without progress in a call to a peer. It is
	// many round trips, but a fraction of the time in which a configuration has to
	// be applied, so that there is time to call another peer.
	progressTimeout = 600 * time.Millisecond
	// maxConcurrentCalls limits the concurrent calls. There are several, so that a
	// call to a peer that does not respond does not delay the others.
	maxConcurrentCalls = 3
)

// runFetcher fetches changes from peers.
func (e *EntryHost) runFetcher(ctx context.Context) error {
	// Keep-alive is off: calls are rare, and an idle connection may have gone dead
	// unnoticed.
	client := &hshttp.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Progress: progressTimeout}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentCalls)
	for {
		select {
		case f := <-e.toFetcher:
			g.Go(func() error {
				e.fetchChanges(ctx, client, f)
				return nil
			})
		case <-ctx.Done():
			return g.Wait()
		}
	}
}

func (e *EntryHost) fetchChanges(ctx context.Context, client *hshttp.Client, f Fetch) {
	u, err := e.callFollow(ctx, client, f)
	if err != nil {
		if ctx.Err() == nil {
			e.log(log.WarnLevel, hscode.PeerFetch).Str("from", f.From.String()).Err(err).Msg("cannot fetch changes from peer")
		}
		return
	}
	if u == nil {
		return
	}
	select {
	case e.toControl <- controlMessage{update: u, fetch: &f}:
	case <-ctx.Done():
	}
}

// callFollow calls Follow on a peer. It returns nil if the peer has nothing
// newer.
func (e *EntryHost) callFollow(ctx context.Context, client *hshttp.Client, f Fetch) (*hsfeed.Update, error) {
	url := "http://" + netip.AddrPortFrom(f.From, e.cfg.Settings.PeerPort).String()
	req := connect.NewRequest(&hsschema.FollowRequest{Era: f.Since.Era, Since: f.Since.Revision})
	res, err := hsschemaconnect.NewFeedClient(client, url).Follow(ctx, req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if res.Msg.GetUpdate() == nil {
		return nil, nil
	}
	u := hsfeed.FromProto(res.Msg.GetUpdate())
	return &u, nil
}

func (e *EntryHost) runPeerServer(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, e.serveMetrics)
	mux.HandleFunc("GET "+statusPath, e.serveStatus)
	mux.Handle(hsschemaconnect.NewFeedHandler(&feedServer{e: e}))
	return hshttp.Serve(ctx, e.sockets.rpc, mux)
}

// Follow implements the Feed service.
func (s *feedServer) Follow(
	ctx context.Context, req *connect.Request[hsschema.FollowRequest],
) (*connect.Response[hsschema.FollowResponse], error) {
	reply := make(chan *hsschema.Update, 1)
	u, ok := hstask.Call(ctx, s.e.toControl, controlMessage{
		followReply: reply, since: hsfeed.Position{Era: req.Msg.GetEra(), Revision: req.Msg.GetSince()},
	}, reply)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
	return connect.NewResponse(&hsschema.FollowResponse{Update: u}), nil
}
