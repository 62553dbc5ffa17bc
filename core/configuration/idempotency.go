package configuration

import (
	"net/url"
	pathpkg "path"
	"strings"
)

// IsNonIdempotent reports whether a call of a service may not be repeated. Rules are matched
// against the path as written and in each form in which the service may interpret it: without
// escapes, dot segments and doubled slashes.
func (p Pool) IsNonIdempotent(method, path string) bool {
	forms := pathForms(path)
	for _, rule := range p.NonIdempotent {
		ruleMethod, rulePath, _ := strings.Cut(rule, " ")
		if !strings.EqualFold(method, ruleMethod) {
			continue
		}
		for _, form := range forms {
			if strings.HasPrefix(form, rulePath) {
				return true
			}
		}
	}
	return false
}

// pathForms returns a path as written, and its unescaped and cleaned forms, without the query.
func pathForms(written string) []string {
	written, _, _ = strings.Cut(written, "?")
	forms := []string{written, pathpkg.Clean(written)}
	if unescaped, err := url.PathUnescape(written); err == nil {
		forms = append(forms, unescaped, pathpkg.Clean(unescaped))
	}
	return forms
}
