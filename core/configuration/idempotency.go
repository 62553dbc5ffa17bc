package configuration

import (
	"net/url"
	pathpkg "path"
	"strings"
)

// IsNonIdempotent tells whether a call of a service may not be repeated. A path counts as it
// is written and as the service may read it: without escapes, dots and doubled slashes.
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

func pathForms(written string) []string {
	written, _, _ = strings.Cut(written, "?")
	forms := []string{written, pathpkg.Clean(written)}
	if plain, err := url.PathUnescape(written); err == nil {
		forms = append(forms, plain, pathpkg.Clean(plain))
	}
	return forms
}
