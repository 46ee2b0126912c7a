// Package naming has no code. Its tests keep words that are not terms of the field, such as invented abbreviations and
// metaphors, out of the names that the repository's Go files declare.
package naming
