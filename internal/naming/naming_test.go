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

// repository is the root of the repository, seen from this package.
const repository = "../.."

// refused are the words that must not be a whole identifier. The case of the first letter does not matter.
var refused = []string{
	"awaited", "baton", "beat", "blind", "blindAt", "breed", "breeds", "deaf", "doubtful", "fx", "heard",
	"kit", "lane", "leeway", "look", "loose", "lot", "lots", "mail", "mute", "noBoots", "paddock", "rc",
	"reckon", "rig", "room", "rose", "said", "scatter", "shelf", "standin", "standing", "standstill", "stash",
	"stint", "stirred", "stray", "stuck", "tally", "waypoint",
}

// refusedPrefix must not begin an identifier: roster, rosterPage and the like.
const refusedPrefix = "roster"

// ceilings are how many refused names each directory still declares. A number here is lowered when names are
// replaced, and never raised; a directory that is not listed declares none.
var ceilings = map[string]int{
	"internal/compat": 1,
}

// TestDeclaredNames counts the refused names by directory and compares them with the ceilings.
func TestDeclaredNames(t *testing.T) {
	found := map[string][]string{}
	inCode := 0
	for _, path := range goFiles(t) {
		places := refusedNames(t, path)
		dir := filepath.ToSlash(filepath.Dir(path))
		found[dir] = append(found[dir], places...)
		if !strings.HasSuffix(path, "_test.go") {
			inCode += len(places)
		}
	}
	total := 0
	for dir, places := range found {
		total += len(places)
		checkCeiling(t, dir, places)
	}
	for _, dir := range slices.Sorted(maps.Keys(ceilings)) {
		if found[dir] == nil {
			t.Errorf("%s has no Go files any more: delete its ceiling", dir)
		}
	}
	t.Logf("refused names declared: %d, of them %d outside tests", total, inCode)
}

func checkCeiling(t *testing.T, dir string, places []string) {
	t.Helper()
	ceiling := ceilings[dir]
	switch count := len(places); {
	case count > ceiling:
		t.Errorf("%s declares %d refused names, %d are allowed:\n%s", dir, count, ceiling, strings.Join(places, "\n"))
	case count == 0 && ceiling > 0:
		t.Errorf("%s declares no refused names any more: delete its ceiling of %d", dir, ceiling)
	case count < ceiling:
		t.Errorf("%s declares fewer refused names than its ceiling of %d: write %d", dir, ceiling, count)
	}
}

// goFiles returns the paths of the repository's Go files, relative to its root.
func goFiles(t *testing.T) []string {
	t.Helper()
	var paths []string
	err := filepath.WalkDir(repository, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "target") {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		relative, err := filepath.Rel(repository, path)
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
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, filepath.Join(repository, path), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var places []string
	for _, name := range declaredNames(file) {
		if isRefused(name.Name) {
			position := files.Position(name.Pos())
			position.Filename = path
			places = append(places, position.String()+": "+name.Name)
		}
	}
	return places
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
