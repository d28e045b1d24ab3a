// Package hshttp runs HTTP servers for as long as their task runs, and makes
// calls whose answers are bounded.
package hshttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout bounds the time in which a client has to send the head of
	// its request, so that slow clients hold no connections.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the time for which a connection without requests is
	// kept: clients that lost power do not close theirs.
	idleTimeout = 30 * time.Second
)

// Serve answers HTTP on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return errors.Trace(err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		// The listener may be closed already, which is no error.
		_ = server.Close()
		return nil
	})
	return g.Wait()
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Get makes a GET and reads at most limit+1 bytes of the answer's body: a longer
// body than limit means that it is too large.
func Get(ctx context.Context, c *http.Client, url string, h http.Header, limit int64) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	req.Header = h
	res, err := c.Do(req)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	// The body is read whole or the connection is dropped; either way there is
	// nothing left to close in order.
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
