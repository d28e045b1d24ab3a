// Package hshttp runs HTTP servers for as long as their task runs.
package hshttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// headerTimeout bounds the time in which a client has to send the head of its
// request, so that slow clients hold no connections.
const headerTimeout = 5 * time.Second

// Serve answers HTTP on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
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
