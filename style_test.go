// Package heatherstack contains checks of the whole source tree.
package heatherstack

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// platformNames are names specific to the deployment. Only platform/ and files that
// describe a deployment may contain them.
var platformNames = []string{
	"HEATHERSTACK_CONFIG", "datagramAddr", "readyAddr", "listenAddrs", "internalPorts",
	"kv-range", "kv-watch", "kv-key", "storeRevision", "staleRead", "tombstone",
	"op/config", "servers/", "coldRemainingMs", "targetLatencyMs", "idleTimeoutMs",
	"maxConnections", "healthPath", "timeoutMs", "non_idempotent", "/-/",
}

// TestPlatformNames checks that names specific to the deployment occur only in
// platform/, and that this folder has less than a tenth of the lines of code. It
// skips tests and generated code.
func TestPlatformNames(t *testing.T) {
	adapter, all := 0, 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil || strings.Contains(path, "hsschema") {
			return err
		}
		lines := strings.Count(string(data), "\n")
		all += lines
		if strings.HasPrefix(path, "platform"+string(filepath.Separator)) {
			adapter += lines
			return nil
		}
		for _, name := range platformNames {
			if strings.Contains(string(data), name) {
				t.Errorf("%s: %q may occur only in platform/", path, name)
			}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, adapter > 0 && adapter*10 < all, "%d of %d lines", adapter, all)
}

// TestSoakIsSmall checks that the soak test, hssoak, has less than a tenth of the
// lines of code. It skips generated code.
func TestSoakIsSmall(t *testing.T) {
	soak, all := 0, 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "hsschema") {
			return err
		}
		data, err := os.ReadFile(path)
		lines := strings.Count(string(data), "\n")
		all += lines
		if strings.Contains(path, "hssoak") {
			soak += lines
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, soak > 0 && soak*10 < all, "%d of %d lines", soak, all)
}

// TestNoBareGoroutine checks that no file has a go statement: goroutines are
// started through an errgroup.
func TestNoBareGoroutine(t *testing.T) {
	files := token.NewFileSet()
	seen := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		seen++
		ast.Inspect(file, func(n ast.Node) bool {
			if stmt, bare := n.(*ast.GoStmt); bare {
				t.Errorf("%s: bare go statement", files.Position(stmt.Pos()))
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, seen > 10)
}
