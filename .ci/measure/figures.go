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

// The limits that .golangci.yml sets for code. Only maxStructFields is not set there.
const (
	maxStructFields  = 20 // fields
	maxFunctionLines = 50 // lines, the first and the last included
	maxComplexity    = 15
	maxFileLines     = 300 // lines
	maxLineColumns   = 120 // columns
)

// finding is a struct, function, file or package with its measured value, such as its number of lines.
type finding struct {
	name  string
	value int
}

// figures holds the measurements of the code without tests.
type figures struct {
	lines         map[string]int // number of lines by directory
	largeStructs  []finding
	longFunctions []finding
	complex       []finding
	longFiles     []finding
	overlongLines int // lines over maxLineColumns
	usesOfAny     int // uses of the type any
}

func newFigures() *figures {
	return &figures{lines: map[string]int{}}
}

func (s *figures) add(file *sourceFile) {
	s.lines[file.directory()] += len(file.lines)
	s.longFiles = appendIfOverLimit(s.longFiles, maxFileLines, finding{file.path, len(file.lines)})
	for _, line := range file.lines {
		if utf8.RuneCountInString(line) > maxLineColumns {
			s.overlongLines++
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
			s.largeStructs = appendIfOverLimit(s.largeStructs, maxStructFields, finding{name, countFields(structure)})
		}
	case *ast.FuncDecl:
		if node.Body == nil {
			return
		}
		name := file.directory() + " " + node.Name.Name
		lines := file.line(node.End()) - file.line(node.Pos()) + 1
		s.longFunctions = appendIfOverLimit(s.longFunctions, maxFunctionLines, finding{name, lines})
		s.complex = appendIfOverLimit(s.complex, maxComplexity, finding{name, complexity(node)})
	}
}

// appendIfOverLimit appends a finding if its value exceeds the limit.
func appendIfOverLimit(findings []finding, limit int, candidate finding) []finding {
	if candidate.value > limit {
		findings = append(findings, candidate)
	}
	return findings
}

// countFields counts the field names of a struct. An embedded field counts as one.
func countFields(structure *ast.StructType) int {
	count := 0
	for _, field := range structure.Fields.List {
		count += max(1, len(field.Names))
	}
	return count
}

// complexity returns a function's cyclomatic complexity: its number of branches plus one.
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
	printFindings(out, fmt.Sprintf("structs of over %d fields", maxStructFields), s.largeStructs)
	printFindings(out, fmt.Sprintf("functions over %d lines", maxFunctionLines), s.longFunctions)
	printFindings(out, fmt.Sprintf("cyclomatic complexity over %d", maxComplexity), s.complex)
	printFindings(out, fmt.Sprintf("files over %d lines", maxFileLines), s.longFiles)
	fmt.Fprintf(out, "lines over %d columns: %d\n", maxLineColumns, s.overlongLines)
	fmt.Fprintf(out, "uses of any: %d\n", s.usesOfAny)
}

// printFindings prints the number of findings, and then each of them, largest first.
func printFindings(out io.Writer, title string, findings []finding) {
	slices.SortStableFunc(findings, func(a, b finding) int {
		if a.value != b.value {
			return b.value - a.value
		}
		return strings.Compare(a.name, b.name)
	})
	fmt.Fprintf(out, "%s: %d\n", title, len(findings))
	for _, item := range findings {
		fmt.Fprintf(out, "  %4d %s\n", item.value, item.name)
	}
}
