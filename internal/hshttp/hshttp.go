// Package hshttp runs HTTP servers until their context ends, and sends GET
// requests with a limit on the size of the response.
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
	// headerTimeout is the time limit for a client to send the header of a
	// request, so that slow clients do not occupy connections.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which a connection without requests is
	// closed: a client that lost power does not close its connections.
	idleTimeout = 30 * time.Second
)

// Serve serves HTTP requests on l until ctx ends. It then closes l and all
// connections.
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

// Response is the response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Get sends a GET request with header h and reads at most limit+1 bytes of the
// response body. A returned body that is longer than limit shows that the
// response was too large; the body may then be incomplete.
func Get(ctx context.Context, c *http.Client, url string, h http.Header, limit int64) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	req.Header = h
	res, err := c.Do(req)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	// If the body was not read to its end, closing it drops the connection. The
	// response is not affected, so the error is ignored.
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	return Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
