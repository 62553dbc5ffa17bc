// Command rename renames identifiers in the whole workspace in one pass, tests included.
//
//	rename [-dry] LIST    run at the root of the repository
//
// LIST is a file with one rename on each line, or - for standard input:
//
//	PACKAGE-DIRECTORY SYMBOL NEW-NAME
//
// SYMBOL is a package-level name (Store), a method or field (Store.Get, entry.at), or a parameter,
// result or local variable (Store.Get/key, newStore/size). A local name that is declared more than
// once in its function is renamed everywhere in that function; Store.Get/key#2 is the second
// declaration only. A method that satisfies an interface is renamed together with it: list both.
// Blank lines and lines that begin with # are skipped.
//
// The tool doesn't look for conflicts of names: compile afterwards. Comments that still mention a
// renamed mixed-case name are printed and left as they are.
package main

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"golang.org/x/tools/go/packages"
)

// place is a position in the source. It identifies a declaration in all variants of its package.
type place struct {
	file   string
	offset int
}

// rename is one line of the list.
type rename struct {
	line, dir, symbol, name string
	targets                 []place
}

func main() {
	arguments := os.Args[1:]
	dry := len(arguments) > 0 && arguments[0] == "-dry"
	if dry {
		arguments = arguments[1:]
	}
	if len(arguments) != 1 {
		fmt.Fprintln(os.Stderr, "usage: rename [-dry] LIST")
		os.Exit(2)
	}
	if err := run(arguments[0], dry); err != nil {
		fmt.Fprintln(os.Stderr, "rename:", err)
		os.Exit(1)
	}
}

func run(list string, dry bool) error {
	renames, err := readList(list)
	if err != nil {
		return err
	}
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	loaded, err := load(root)
	if err != nil {
		return err
	}
	failed := 0
	for _, r := range renames {
		r.targets = loaded.find(filepath.Join(root, r.dir), r.symbol)
		if len(r.targets) == 0 {
			fmt.Printf("not found: %s\n", r.line)
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d symbols not found; nothing was written", failed, len(renames))
	}
	return loaded.apply(root, renames, dry)
}

func readList(list string) ([]*rename, error) {
	input := io.Reader(os.Stdin)
	if list != "-" {
		file, err := os.Open(list)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		input = file
	}
	var renames []*rename
	for scanner := bufio.NewScanner(input); scanner.Scan(); {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != 3 || !token.IsIdentifier(fields[2]) {
			return nil, fmt.Errorf("not PACKAGE-DIRECTORY SYMBOL NEW-NAME: %q", line)
		}
		renames = append(renames, &rename{line: line, dir: fields[0], symbol: fields[1], name: fields[2]})
	}
	return renames, nil
}

// workspace holds all packages, and for each declaration the places where it is named.
type workspace struct {
	packages []*packages.Package
	uses     map[place]map[place]bool
}

func load(root string) (*workspace, error) {
	config := &packages.Config{
		Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps | packages.NeedModule,
		Dir:  root, Tests: true,
	}
	all, err := packages.Load(config, "./...", "./core/...")
	if err != nil {
		return nil, err
	}
	w := &workspace{uses: map[place]map[place]bool{}}
	for _, p := range all {
		if len(p.Errors) > 0 {
			return nil, fmt.Errorf("%s does not compile: %v", p.ID, p.Errors[0])
		}
		if strings.HasSuffix(p.ID, ".test") {
			continue
		}
		w.packages = append(w.packages, p)
		w.index(p)
	}
	return w, nil
}

func at(fileSet *token.FileSet, pos token.Pos) place {
	position := fileSet.Position(pos)
	return place{position.Filename, position.Offset}
}

func (w *workspace) index(p *packages.Package) {
	record := func(id *ast.Ident, object types.Object) {
		if object == nil || !object.Pos().IsValid() {
			return
		}
		w.record(at(p.Fset, object.Pos()), at(p.Fset, id.Pos()))
		// An embedded field has the name of its type.
		if field, isVar := object.(*types.Var); isVar && field.Embedded() {
			if named := typeName(field.Type()); named != nil && named.Pos().IsValid() {
				w.record(at(p.Fset, named.Pos()), at(p.Fset, id.Pos()))
			}
		}
	}
	for id, object := range p.TypesInfo.Defs {
		if object == nil {
			// The variable of a type switch is declared in each clause, at this position.
			w.record(at(p.Fset, id.Pos()), at(p.Fset, id.Pos()))
		}
		record(id, object)
	}
	for id, object := range p.TypesInfo.Uses {
		record(id, object)
	}
}

func typeName(t types.Type) *types.TypeName {
	if pointer, isPointer := t.(*types.Pointer); isPointer {
		t = pointer.Elem()
	}
	switch t := t.(type) {
	case *types.Named:
		return t.Obj()
	case *types.Alias:
		return t.Obj()
	}
	return nil
}

func (w *workspace) record(declaration, use place) {
	if w.uses[declaration] == nil {
		w.uses[declaration] = map[place]bool{}
	}
	w.uses[declaration][use] = true
}

// find returns the declarations of a symbol in a directory.
func (w *workspace) find(dir, symbol string) []place {
	outer, local, isLocal := strings.Cut(symbol, "/")
	number := 0
	if before, after, found := strings.Cut(local, "#"); found {
		local = before
		number, _ = strconv.Atoi(after)
	}
	found := map[place]bool{}
	for _, p := range w.packages {
		for _, file := range p.Syntax {
			if filepath.Dir(p.Fset.Position(file.Pos()).Filename) != dir {
				continue
			}
			for _, declaration := range file.Decls {
				for _, id := range identifiers(declaration, outer, local, isLocal) {
					found[at(p.Fset, id.Pos())] = true
				}
			}
		}
	}
	places := make([]place, 0, len(found))
	for f := range found {
		places = append(places, f)
	}
	sort.Slice(places, func(i, j int) bool {
		if places[i].file != places[j].file {
			return places[i].file < places[j].file
		}
		return places[i].offset < places[j].offset
	})
	var declared []place
	for _, f := range places {
		if w.uses[f][f] {
			declared = append(declared, f)
		}
	}
	if number > 0 && number <= len(declared) {
		return declared[number-1 : number]
	}
	return declared
}

// identifiers returns the identifiers with which a declaration may declare the symbol.
func identifiers(declaration ast.Decl, outer, local string, isLocal bool) []*ast.Ident {
	holder, member, isMember := strings.Cut(outer, ".")
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		name := d.Name.Name
		if d.Recv != nil {
			name = receiver(d) + "." + name
		}
		if name != outer {
			return nil
		}
		if isLocal {
			return named(d, local)
		}
		return []*ast.Ident{d.Name}
	case *ast.GenDecl:
		var found []*ast.Ident
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				switch {
				case s.Name.Name == outer && isLocal:
					found = append(found, named(s, local)...)
				case s.Name.Name == outer:
					found = append(found, s.Name)
				case isMember && s.Name.Name == holder:
					found = append(found, members(s, member)...)
				}
			case *ast.ValueSpec:
				for _, id := range s.Names {
					switch {
					case id.Name == outer && isLocal:
						found = append(found, named(s, local)...)
					case id.Name == outer:
						found = append(found, id)
					}
				}
			}
		}
		return found
	}
	return nil
}

func receiver(d *ast.FuncDecl) string {
	expression := d.Recv.List[0].Type
	for {
		switch e := expression.(type) {
		case *ast.StarExpr:
			expression = e.X
		case *ast.IndexExpr:
			expression = e.X
		case *ast.IndexListExpr:
			expression = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}

func named(within ast.Node, name string) []*ast.Ident {
	var found []*ast.Ident
	ast.Inspect(within, func(n ast.Node) bool {
		if id, isIdent := n.(*ast.Ident); isIdent && id.Name == name {
			found = append(found, id)
		}
		return true
	})
	return found
}

// members returns the fields and methods of that name in a type, also those of nested types.
func members(s *ast.TypeSpec, name string) []*ast.Ident {
	var found []*ast.Ident
	ast.Inspect(s.Type, func(n ast.Node) bool {
		if field, isField := n.(*ast.Field); isField {
			for _, id := range field.Names {
				if id.Name == name {
					found = append(found, id)
				}
			}
		}
		return true
	})
	return found
}

func (w *workspace) apply(root string, renames []*rename, dry bool) error {
	edits := map[string]map[int]*rename{}
	old := map[*rename]string{}
	for _, r := range renames {
		symbol := r.symbol
		for _, separator := range []string{"/", "."} {
			if i := strings.LastIndex(symbol, separator); i >= 0 {
				symbol = symbol[i+1:]
			}
		}
		old[r], _, _ = strings.Cut(symbol, "#")
		count := 0
		for _, target := range r.targets {
			for use := range w.uses[target] {
				if edits[use.file] == nil {
					edits[use.file] = map[int]*rename{}
				}
				edits[use.file][use.offset] = r
				count++
			}
		}
		fmt.Printf("%s: %d places\n", r.line, count)
	}
	if dry {
		return nil
	}
	for file, places := range edits {
		if err := rewrite(file, places, old); err != nil {
			return err
		}
	}
	return w.mentions(root, renames, old)
}

func rewrite(file string, places map[int]*rename, old map[*rename]string) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	offsets := make([]int, 0, len(places))
	for offset := range places {
		offsets = append(offsets, offset)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(offsets)))
	for _, offset := range offsets {
		r := places[offset]
		end := offset + len(old[r])
		if end > len(source) || string(source[offset:end]) != old[r] {
			continue // a use under another name, such as that of an import
		}
		source = append(source[:offset:offset], append([]byte(r.name), source[end:]...)...)
	}
	return os.WriteFile(file, source, 0o644)
}

// mentions prints the comments that still have an old name.
func (w *workspace) mentions(root string, renames []*rename, old map[*rename]string) error {
	files := map[string]bool{}
	for _, p := range w.packages {
		for _, file := range p.GoFiles {
			files[file] = true
		}
	}
	for file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		relative, _ := filepath.Rel(root, file)
		for number, line := range strings.Split(string(source), "\n") {
			_, comment, hasComment := strings.Cut(line, "//")
			if !hasComment {
				continue
			}
			for _, r := range renames {
				if strings.Contains(r.symbol, "/") || strings.ToLower(old[r]) == old[r] {
					continue // a local name, or an everyday word
				}
				if regexp.MustCompile(`\b` + regexp.QuoteMeta(old[r]) + `\b`).MatchString(comment) {
					fmt.Printf("mention of %s: %s:%d: %s\n", old[r], relative, number+1, strings.TrimSpace(line))
				}
			}
		}
	}
	return nil
}
