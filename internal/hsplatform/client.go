// Package hsplatform reads and watches the manifest on the operators'
// platform. It never writes to the platform.
//
// The protocol is HTTP with long polling: the platform answers a GET with 200
// and an ETag, or with 304 if the ETag in If-None-Match is still current. With
// "Prefer: wait=N" it may delay a 304 for up to N seconds and answer earlier if
// the manifest changes.
package hsplatform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hshttp"
	"heatherstack.org/heatherstack/internal/hsmanifest"
)

type (
	// Platform reads the manifest from the operators' platform.
	Platform interface {
		// Read returns the manifest if it changed since the last call that
		// returned one, else nil. After the first manifest, it waits up to wait
		// for a change. Errors are *hscode.Error.
		Read(ctx context.Context, wait time.Duration) ([]byte, error)
	}

	// Client reads a manifest over HTTP. It is not safe for concurrent use.
	Client struct {
		url  *url.URL
		http *http.Client
		// ETag of the manifest that Read returned last; empty before the first.
		etag string
	}
)

// responseGrace is the time that an answer may take beyond the wait that the
// request asks for.
const responseGrace = 2 * time.Second

// NewClient returns a client that reads the manifest at u.
func NewClient(u *url.URL) *Client {
	return &Client{url: u, http: &http.Client{}}
}

// Read implements Platform.
func (c *Client) Read(ctx context.Context, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseGrace)
	defer cancel()
	header := http.Header{}
	if c.etag != "" {
		header.Set("If-None-Match", c.etag)
		header.Set("Prefer", fmt.Sprintf("wait=%d", int(wait/time.Second)))
	}
	res, err := hshttp.Get(ctx, c.http, c.url.String(), header, hsmanifest.MaxSize)
	if err != nil {
		return nil, hscode.New(hscode.PlatformRead, "platform", "%v", err)
	}
	switch res.Status {
	case http.StatusOK:
		return c.manifestBody(&res)
	case http.StatusNotModified:
		return nil, nil
	default:
		return nil, hscode.New(hscode.PlatformStatus, "platform", "unexpected HTTP status %d", res.Status)
	}
}

// manifestBody returns the manifest in a response and stores its ETag.
func (c *Client) manifestBody(res *hshttp.Response) ([]byte, error) {
	if len(res.Body) > hsmanifest.MaxSize {
		return nil, hscode.New(hscode.PlatformSize, "platform", "manifest has more than %d bytes", hsmanifest.MaxSize)
	}
	c.etag = res.Header.Get("ETag")
	return res.Body, nil
}
