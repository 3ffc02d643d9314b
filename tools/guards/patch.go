package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// skipped are directories that hold no source.
var skipped = []string{".git", "bin", ".ci"}

// copyTree copies the source files below from.
func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if slices.Contains(skipped, rel) {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		info, err := d.Info()
		if err != nil || !info.Mode().IsRegular() {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), raw, info.Mode().Perm())
	})
}

// patch returns the source with the guard switched off. The old text must stand
// exactly once in the function, so that a patch never hits another place after
// the code has changed.
func patch(src []byte, g Guard) ([]byte, error) {
	start, end, err := span(src, g.Function)
	if err != nil {
		return nil, err
	}
	body := src[start:end]
	if n := bytes.Count(body, []byte(g.Old)); n != 1 {
		return nil, fmt.Errorf("the old text stands %d times in %s", n, g.Function)
	}
	return slices.Concat(src[:start], bytes.Replace(body, []byte(g.Old), []byte(g.New), 1), src[end:]), nil
}

// span finds where a function, Name or Type.Name, begins and ends.
func span(src []byte, function string) (start, end int, err error) {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, "", src, parser.SkipObjectResolution)
	if err != nil {
		return 0, 0, err
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && nameOf(f) == function {
			return set.Position(f.Pos()).Offset, set.Position(f.End()).Offset, nil
		}
	}
	return 0, 0, fmt.Errorf("no function %s", function)
}

func nameOf(f *ast.FuncDecl) string {
	if f.Recv == nil || len(f.Recv.List) == 0 {
		return f.Name.Name
	}
	t := f.Recv.List[0].Type
	if star, ok := t.(*ast.StarExpr); ok {
		t = star.X
	}
	switch generic := t.(type) {
	case *ast.IndexExpr:
		t = generic.X
	case *ast.IndexListExpr:
		t = generic.X
	}
	if id, ok := t.(*ast.Ident); ok {
		return strings.Join([]string{id.Name, f.Name.Name}, ".")
	}
	return f.Name.Name
}
