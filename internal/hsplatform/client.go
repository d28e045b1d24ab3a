// Package hsplatform reads and watches the manifest on the operators'
// platform. Nothing is ever written there.
//
// The protocol is plain HTTP: a GET answers 200 with an ETag, or 304 if the
// ETag in If-None-Match is still current. With "Prefer: wait=N" the platform
// may hold the answer back for up to N seconds until there is a change.
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
	// Platform is what the project needs of the operators' platform.
	Platform interface {
		// Read returns the manifest if it differs from the one that the client
		// returned last, else nil. It waits for a change for up to wait.
		// Errors are *hscode.Error.
		Read(ctx context.Context, wait time.Duration) ([]byte, error)
	}

	// Client reads a manifest over HTTP. It is not safe for concurrent use.
	Client struct {
		url  *url.URL
		http *http.Client
		// ETag of the last manifest; empty before the first.
		etag string
	}
)

// responseGrace is the time that an answer may take beyond the wait asked for.
const responseGrace = 2 * time.Second

// NewClient returns a client of the manifest at u.
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
		return nil, hscode.New(hscode.PlatformStatus, "platform", "answered %d", res.Status)
	}
}

func (c *Client) manifestBody(res *hshttp.Answer) ([]byte, error) {
	if len(res.Body) > hsmanifest.MaxSize {
		return nil, hscode.New(hscode.PlatformSize, "platform", "has more than %d bytes", hsmanifest.MaxSize)
	}
	c.etag = res.Header.Get("ETag")
	return res.Body, nil
}
