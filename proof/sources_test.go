package proof

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// deploymentNames matches names of the users' deployments, zones, services, days and bench. A
// decision that depended on one would be wrong in any other deployment.
var deploymentNames = regexp.MustCompile(`(?i)\b(lfbc|dcri|manila|addis|luzon|great-lakes|bole|merkato|kazanchis|makati|pasig|quezon|erie|huron|superior|michigan|` +
	`caption-llm|studio-desk|verbena-pool|booking-app|drafter|ledger|fleetbench|quiet-\d|trouble-\d|scale-\d)\b`)

// productModules are the modules that users run.
var productModules = []string{"agent", "core", "ctl", "entry", "gateway", "platform", "sidecar"}

// Decisions must follow from what is observed and configured. If the code knew a deployment by
// name, other deployments would be served worse than the measured figures suggest.
func TestNoDeploymentIsKnownByName(t *testing.T) {
	files := 0
	for _, module := range productModules {
		err := filepath.WalkDir(filepath.Join("..", module), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files++
			return checkNames(t, path)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 100 {
		t.Errorf("only %d files were read", files)
	}
}

// checkNames reports names of deployments in the string literals and identifiers of a file.
// Comments may use them as examples.
func checkNames(t *testing.T, path string) error {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		text := ""
		switch n := n.(type) {
		case *ast.BasicLit:
			text = n.Value
		case *ast.Ident:
			text = n.Name
		}
		if name := deploymentNames.FindString(text); name != "" {
			t.Errorf("%s: contains the deployment name %q", set.Position(n.Pos()), name)
		}
		return true
	})
	return nil
}

// Decisions must not depend on the protocols of the platform, nor on the calling program: the
// platform package translates to the types of core, and core imports neither.
func TestCoreKnowsNoPlatformAndNoProgram(t *testing.T) {
	outer := regexp.MustCompile(`^verbenashift/(platform|gateway|sidecar|entry|agent|ctl)(/|$)`)
	files := 0
	err := filepath.WalkDir(filepath.Join("..", "core"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		files++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			if name := strings.Trim(i.Path.Value, `"`); outer.MatchString(name) {
				t.Errorf("%s imports %s", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 100 {
		t.Errorf("only %d files were read", files)
	}
}
