package revision

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// fields are the fields of a Revision that mean nothing without the others.
var fields = map[string]bool{"Era": true, "Number": true, "Carried": true}

// comparisons are the operators by which bare numbers would be compared.
var comparisons = map[token.Token]bool{
	token.EQL: true, token.NEQ: true, token.LSS: true, token.GTR: true, token.LEQ: true, token.GEQ: true,
}

// No part of a revision is compared by itself where decisions are made. The adapters translate the parts.
func TestNoBareRevisionIsCompared(t *testing.T) {
	checked := 0
	err := filepath.WalkDir("../../node", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		checked++
		ast.Inspect(file, func(node ast.Node) bool {
			binary, isBinary := node.(*ast.BinaryExpr)
			if isBinary && comparisons[binary.Op] && (isPart(binary.X) || isPart(binary.Y)) {
				t.Errorf("%s compares a part of a revision", files.Position(binary.Pos()))
			}
			return true
		})
		return nil
	})
	must.NoError(t, err)
	must.Positive(t, checked)
}

func isPart(expression ast.Expr) bool {
	selector, isSelector := expression.(*ast.SelectorExpr)
	return isSelector && fields[selector.Sel.Name]
}
