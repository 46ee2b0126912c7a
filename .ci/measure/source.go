package main

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// sourceFile is a parsed Go file.
type sourceFile struct {
	path    string
	lines   []string
	tree    *ast.File
	fileSet *token.FileSet
}

// parseRepository parses the Go files below root. Like the go command's "./...", it skips directories whose
// names begin with a dot.
func parseRepository(root string) ([]*sourceFile, error) {
	var files []*sourceFile
	err := walk(root, func(path string) error {
		if filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parseFile(path)
		files = append(files, file)
		return err
	})
	return files, err
}

func walk(root string, visit func(path string) error) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case entry.IsDir():
			return nil
		}
		return visit(path)
	})
}

func parseFile(path string) (*sourceFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fileSet := token.NewFileSet()
	tree, err := parser.ParseFile(fileSet, path, text, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	return &sourceFile{path: path, lines: lines, tree: tree, fileSet: fileSet}, nil
}

func (f *sourceFile) isTest() bool { return strings.HasSuffix(f.path, "_test.go") }

func (f *sourceFile) directory() string { return filepath.Dir(f.path) }

func (f *sourceFile) line(position token.Pos) int { return f.fileSet.Position(position).Line }

// testFunctions counts the tests, fuzz tests and benchmarks in the file.
func (f *sourceFile) testFunctions() int {
	count := 0
	for _, declaration := range f.tree.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && function.Recv == nil && isTestName(function.Name.Name) {
			count++
		}
	}
	return count
}

func isTestName(name string) bool {
	return strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") || strings.HasPrefix(name, "Benchmark")
}

// scenarioCount is the number of scenario files, text files in directories named testdata, and of their directives.
type scenarioCount struct {
	files      int
	directives int // each is followed by a line that begins with "----"
}

func countScenarios(root string) (scenarioCount, error) {
	var count scenarioCount
	err := walk(root, func(path string) error {
		if filepath.Ext(path) != ".txt" || !strings.Contains(filepath.ToSlash(path), "testdata/") {
			return nil
		}
		text, err := os.ReadFile(path)
		count.files++
		count.directives += bytes.Count(append([]byte("\n"), text...), []byte("\n----"))
		return err
	})
	return count, err
}
