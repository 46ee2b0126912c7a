package naming

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"
)

// repositoryRoot is the path of the repository's root, relative to this package.
const repositoryRoot = "../.."

// refused lists the words that must not be a whole identifier. The case of the first letter does not matter.
var refused = []string{
	"awaited", "baton", "beat", "blind", "blindAt", "breed", "breeds", "deaf", "doubtful", "fx", "heard",
	"kit", "lane", "leeway", "look", "loose", "lot", "lots", "mail", "mute", "noBoots", "paddock", "rc",
	"reckon", "rig", "room", "rose", "said", "scatter", "shelf", "standin", "standing", "standstill", "stash",
	"stint", "stirred", "stray", "stuck", "tally", "waypoint",
}

// refusedPrefix is a prefix that no identifier may have, as in roster and rosterPage.
const refusedPrefix = "roster"

// ceilings maps a directory to the number of refused names that it still declares. A ceiling is lowered when names are
// replaced and never raised. A directory that is not listed must not declare any.
var ceilings = map[string]int{
	"internal/compat": 1,
}

// TestDeclaredNames compares the number of refused names in each directory with its ceiling.
func TestDeclaredNames(t *testing.T) {
	namesByDir := map[string][]string{}
	outsideTests := 0
	for _, path := range goFiles(t) {
		names := refusedNames(t, path)
		dir := filepath.ToSlash(filepath.Dir(path))
		namesByDir[dir] = append(namesByDir[dir], names...)
		if !strings.HasSuffix(path, "_test.go") {
			outsideTests += len(names)
		}
	}
	total := 0
	for dir, names := range namesByDir {
		total += len(names)
		checkCeiling(t, dir, names)
	}
	for _, dir := range slices.Sorted(maps.Keys(ceilings)) {
		if namesByDir[dir] == nil {
			t.Errorf("%s has no Go files any more: delete its ceiling", dir)
		}
	}
	t.Logf("refused names declared: %d, of them %d outside tests", total, outsideTests)
}

func checkCeiling(t *testing.T, dir string, names []string) {
	t.Helper()
	ceiling := ceilings[dir]
	switch count := len(names); {
	case count > ceiling:
		t.Errorf("%s declares %d refused names, %d are allowed:\n%s", dir, count, ceiling, strings.Join(names, "\n"))
	case count == 0 && ceiling > 0:
		t.Errorf("%s declares no refused names any more: delete its ceiling of %d", dir, ceiling)
	case count < ceiling:
		t.Errorf("%s declares fewer refused names than its ceiling of %d: lower it to %d", dir, ceiling, count)
	}
}

// goFiles returns the paths of the repository's Go files, relative to its root.
func goFiles(t *testing.T) []string {
	t.Helper()
	var paths []string
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "target") {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		relative, err := filepath.Rel(repositoryRoot, path)
		paths = append(paths, relative)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) == 0 {
		t.Fatal("no Go files found")
	}
	return paths
}

// refusedNames returns the refused names that a file declares, each with its position.
func refusedNames(t *testing.T, path string) []string {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, filepath.Join(repositoryRoot, path), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, name := range declaredNames(file) {
		if isRefused(name.Name) {
			position := fileSet.Position(name.Pos())
			position.Filename = path
			names = append(names, position.String()+": "+name.Name)
		}
	}
	return names
}

// declaredNames returns the names of the types, functions, fields, parameters, constants and variables that a
// file declares.
func declaredNames(file *ast.File) []*ast.Ident {
	var names []*ast.Ident
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			names = append(names, node.Name)
		case *ast.TypeSpec:
			names = append(names, node.Name)
		case *ast.ValueSpec:
			names = append(names, node.Names...)
		case *ast.Field:
			names = append(names, node.Names...)
		case *ast.AssignStmt:
			if node.Tok == token.DEFINE {
				names = appendIdents(names, node.Lhs...)
			}
		case *ast.RangeStmt:
			if node.Tok == token.DEFINE {
				names = appendIdents(names, node.Key, node.Value)
			}
		}
		return true
	})
	return names
}

func appendIdents(names []*ast.Ident, expressions ...ast.Expr) []*ast.Ident {
	for _, expression := range expressions {
		if name, ok := expression.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}

func isRefused(name string) bool {
	first, size := utf8.DecodeRuneInString(name)
	name = string(unicode.ToLower(first)) + name[size:]
	return strings.HasPrefix(name, refusedPrefix) || slices.Contains(refused, name)
}

func TestIsRefused(t *testing.T) {
	for name, want := range map[string]bool{
		"fx": true, "Said": true, "noBoots": true, "NoBoots": true, "roster": true, "RosterPage": true,
		"effects": false, "afford": false, "noboots": false, "roomy": false, "_": false,
	} {
		if got := isRefused(name); got != want {
			t.Errorf("isRefused(%q) = %t, want %t", name, got, want)
		}
	}
}

func TestDeclaredNamesOfFile(t *testing.T) {
	const source = `package p
type a[b any] struct { c int ` + "`json:\"rig\"`" + ` }
const d = "rig"
var e, f = rig.kit, 1
func (g *a) h(i int) (j int) {
	k := func(l int) {}
	for m, n := range o { p.q = r }
	s = 1
}
`
	file, err := parser.ParseFile(token.NewFileSet(), "", source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, name := range declaredNames(file) {
		got = append(got, name.Name)
	}
	slices.Sort(got)
	if want := "a b c d e f g h i j k l m n"; strings.Join(got, " ") != want {
		t.Errorf("declared names are %v, want %s", got, want)
	}
}
