package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"io"
	"slices"
	"strings"
	"unicode/utf8"
)

// The limits that .golangci.yml sets for code; largeStruct is this program's own.
const (
	largeStruct    = 20 // fields
	longFunction   = 50 // lines, with the first and the last
	complexityMost = 15
	longFile       = 300 // lines
	wideLine       = 120 // columns
)

// finding is a piece of code with its measure.
type finding struct {
	name  string
	value int
}

// figures are what is measured of the code without tests.
type figures struct {
	lines     map[string]int // by directory
	structs   []finding
	functions []finding
	complex   []finding
	files     []finding
	wideLines int
	usesOfAny int
}

func newFigures() *figures {
	return &figures{lines: map[string]int{}}
}

func (s *figures) add(file *sourceFile) {
	s.lines[file.directory()] += len(file.lines)
	s.files = appendOver(s.files, longFile, finding{file.path, len(file.lines)})
	for _, line := range file.lines {
		if utf8.RuneCountInString(line) > wideLine {
			s.wideLines++
		}
	}
	ast.Inspect(file.tree, func(node ast.Node) bool {
		s.addNode(file, node)
		return true
	})
}

func (s *figures) addNode(file *sourceFile, node ast.Node) {
	switch node := node.(type) {
	case *ast.Ident:
		if node.Name == "any" {
			s.usesOfAny++
		}
	case *ast.TypeSpec:
		if structure, ok := node.Type.(*ast.StructType); ok {
			name := file.tree.Name.Name + "." + node.Name.Name
			s.structs = appendOver(s.structs, largeStruct, finding{name, countFields(structure)})
		}
	case *ast.FuncDecl:
		if node.Body == nil {
			return
		}
		name := file.directory() + " " + node.Name.Name
		lines := file.line(node.End()) - file.line(node.Pos()) + 1
		s.functions = appendOver(s.functions, longFunction, finding{name, lines})
		s.complex = appendOver(s.complex, complexityMost, finding{name, complexity(node)})
	}
}

func appendOver(findings []finding, limit int, found finding) []finding {
	if found.value > limit {
		findings = append(findings, found)
	}
	return findings
}

// countFields counts the names of a struct's fields; an embedded field has one.
func countFields(structure *ast.StructType) int {
	count := 0
	for _, field := range structure.Fields.List {
		count += max(1, len(field.Names))
	}
	return count
}

// complexity is a function's cyclomatic complexity: one more than its branches.
func complexity(function *ast.FuncDecl) int {
	count := 1
	ast.Inspect(function, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.IfStmt, *ast.ForStmt, *ast.RangeStmt:
			count++
		case *ast.CaseClause:
			if node.List != nil {
				count++
			}
		case *ast.CommClause:
			if node.Comm != nil {
				count++
			}
		case *ast.BinaryExpr:
			if node.Op == token.LAND || node.Op == token.LOR {
				count++
			}
		}
		return true
	})
	return count
}

func (s *figures) print(out io.Writer) {
	total, largest := 0, finding{}
	for directory, lines := range s.lines {
		total += lines
		if lines > largest.value {
			largest = finding{directory, lines}
		}
	}
	fmt.Fprintf(out, "lines without tests: %d; largest package %s: %d (%.1f%%)\n",
		total, largest.name, largest.value, 100*float64(largest.value)/float64(total))
	printFindings(out, fmt.Sprintf("structs of over %d fields", largeStruct), s.structs)
	printFindings(out, fmt.Sprintf("functions over %d lines", longFunction), s.functions)
	printFindings(out, fmt.Sprintf("cyclomatic complexity over %d", complexityMost), s.complex)
	printFindings(out, fmt.Sprintf("files over %d lines", longFile), s.files)
	fmt.Fprintf(out, "lines over %d columns: %d\n", wideLine, s.wideLines)
	fmt.Fprintf(out, "uses of any: %d\n", s.usesOfAny)
}

// printFindings prints how many findings there are, and then each of them, the greatest first.
func printFindings(out io.Writer, title string, findings []finding) {
	slices.SortStableFunc(findings, func(a, b finding) int {
		if a.value != b.value {
			return b.value - a.value
		}
		return strings.Compare(a.name, b.name)
	})
	fmt.Fprintf(out, "%s: %d\n", title, len(findings))
	for _, found := range findings {
		fmt.Fprintf(out, "  %4d %s\n", found.value, found.name)
	}
}
