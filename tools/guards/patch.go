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

// skippedDirs are the directories that contain no source.
var skippedDirs = []string{".git", "bin", ".ci"}

// copyTree copies the regular files below from, except those of skippedDirs.
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
			if slices.Contains(skippedDirs, rel) {
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

// patch returns the source with the guard disabled. The old text must occur exactly
// once in the function, so that a patch never hits other code after a change.
func patch(src []byte, g Guard) ([]byte, error) {
	start, end, err := funcRange(src, g.Function)
	if err != nil {
		return nil, err
	}
	body := src[start:end]
	if n := bytes.Count(body, []byte(g.Old)); n != 1 {
		return nil, fmt.Errorf("old text found %d times in %s, want once", n, g.Function)
	}
	return slices.Concat(src[:start], bytes.Replace(body, []byte(g.Old), []byte(g.New), 1), src[end:]), nil
}

// funcRange returns the byte offsets of the start and end of a function, which is
// given as Name or Type.Name.
func funcRange(src []byte, function string) (start, end int, err error) {
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
	return 0, 0, fmt.Errorf("function %s not found", function)
}

// nameOf returns the name of a function, or Type.Name of a method.
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
