package hshttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProgress checks that a response which takes several times the time limit
// is read to its end as long as it makes progress: a configuration of 280 KB
// takes longer than the limit on a slow link.
func TestProgress(t *testing.T) {
	const parts = 30
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range parts {
			_, _ = w.Write([]byte(strings.Repeat("x", 1000)))
			w.(http.Flusher).Flush() //nolint:forcetypeassert // the server's writer is a Flusher
			time.Sleep(50 * time.Millisecond)
		}
	}))
	defer server.Close()
	c := &Client{HTTP: server.Client(), Progress: time.Second}
	res, err := c.Get(t.Context(), server.URL, 1<<20, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(res.Body), parts*1000)
}

// TestNoProgress checks that a call ends if the server sends no header, or stops
// in the middle of the body; a body that ends early is an error.
func TestNoProgress(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/body" {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
			w.(http.Flusher).Flush() //nolint:forcetypeassert // the server's writer is a Flusher
		}
		<-release
	}))
	defer server.Close()
	defer close(release)
	c := &Client{HTTP: server.Client(), Progress: 50 * time.Millisecond}
	for _, path := range []string{"/header", "/body"} {
		_, err := c.Get(t.Context(), server.URL+path, 1<<20, 0)
		assert.ErrorContains(t, err, "context canceled", path)
	}
}
