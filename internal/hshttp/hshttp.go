// Package hshttp runs HTTP servers until their context ends, and sends requests
// with limits on the size of the response and on the time without progress.
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
	// maxCallTime is the time limit of a call of a Client that makes progress,
	// in addition to the time for which the server may wait. A response of 1 MB
	// takes 4 s at 2 Mbit/s.
	maxCallTime = 20 * time.Second
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

// Client sends requests and gives one up if its response makes no progress. The
// time that a response takes depends on its size and the bandwidth, so that a
// limit on the whole time would either detect dead connections late or abort
// large responses on slow links again and again.
type Client struct {
	HTTP *http.Client
	// Time limit until the header of a response, and between two reads of the
	// body that return data.
	Progress time.Duration
}

// Do implements connect.HTTPClient.
func (c *Client) Do(req *http.Request) (*http.Response, error) { return c.do(req, 0) }

// Get sends a GET request like the function Get. The server may wait for the
// given time before it responds.
func (c *Client) Get(ctx context.Context, url string, limit int64, wait time.Duration) (Response, error) {
	return get(ctx, func(req *http.Request) (*http.Response, error) { return c.do(req, wait) }, url, nil, limit)
}

func (c *Client) do(req *http.Request, wait time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(req.Context(), wait+maxCallTime)
	timer := time.AfterFunc(wait+c.Progress, cancel)
	res, err := c.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err //nolint:wrapcheck // connect examines the errors of its client
	}
	timer.Reset(c.Progress)
	res.Body = &progressBody{ReadCloser: res.Body, timer: timer, cancel: cancel, limit: c.Progress}
	return res, nil
}

// progressBody is a response body that cancels its request after a time without
// progress.
type progressBody struct {
	io.ReadCloser
	timer  *time.Timer
	cancel context.CancelFunc
	limit  time.Duration
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(b.limit)
	}
	return n, err //nolint:wrapcheck // io.EOF has to stay as it is
}

// Close implements io.Closer.
func (b *progressBody) Close() error {
	b.timer.Stop()
	b.cancel()
	return b.ReadCloser.Close() //nolint:wrapcheck // a plain pass-through
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
	return get(ctx, c.Do, url, h, limit)
}

// get sends a GET request by means of do; see Get.
func get(
	ctx context.Context, do func(*http.Request) (*http.Response, error), url string, h http.Header, limit int64,
) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	req.Header = h
	res, err := do(req)
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
