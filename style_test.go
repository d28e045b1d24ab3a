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
	"op/config", "op/evacuate", "servers/", "coldRemainingMs", "targetLatencyMs", "idleTimeoutMs",
	"maxConnections", "healthPath", "timeoutMs", "non_idempotent", "/-/",
}

// TestPlatformNames checks that names specific to the deployment occur only in
// platform/, and that this folder has less than a tenth of the lines of code. It
// skips tests and generated code.
func TestPlatformNames(t *testing.T) {
	adapterLines, totalLines := 0, 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil || strings.Contains(path, "hsschema") {
			return err
		}
		lines := strings.Count(string(data), "\n")
		totalLines += lines
		if strings.HasPrefix(path, "platform"+string(filepath.Separator)) {
			adapterLines += lines
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
	assert.Assert(t, adapterLines > 0 && adapterLines*10 < totalLines, "%d of %d lines", adapterLines, totalLines)
}

// TestSoakIsSmall checks that the soak test, hssoak, has less than a tenth of the
// lines of code. It skips generated code.
func TestSoakIsSmall(t *testing.T) {
	soakLines, totalLines := 0, 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "hsschema") {
			return err
		}
		data, err := os.ReadFile(path)
		lines := strings.Count(string(data), "\n")
		totalLines += lines
		if strings.Contains(path, "hssoak") {
			soakLines += lines
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, soakLines > 0 && soakLines*10 < totalLines, "%d of %d lines", soakLines, totalLines)
}

// TestNoBareGoroutine checks that no file has a go statement: goroutines are
// started through an errgroup.
func TestNoBareGoroutine(t *testing.T) {
	fset := token.NewFileSet()
	parsed := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		parsed++
		ast.Inspect(file, func(n ast.Node) bool {
			if stmt, bare := n.(*ast.GoStmt); bare {
				t.Errorf("%s: bare go statement", fset.Position(stmt.Pos()))
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, parsed > 10)
}
