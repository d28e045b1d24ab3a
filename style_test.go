// Package heatherstack holds checks over the whole source tree.
package heatherstack

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNoBareGoroutine checks that goroutines are started through a group.
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
