package configurer

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"rosemaryspool.example/core/refuser"
)

// MaxTextBytes limits the size of a document's text; 44,000 callers take about 3 MB.
const MaxTextBytes = 16 << 20

// maxNesting limits the nesting of flow collections and of lists on one line. No document needs more than 3 levels;
// without a limit a malicious text could exhaust the stack.
const maxNesting = 16

// Parse decodes and checks a YAML document. It returns all faults at once, as a *FaultList with the given name.
func Parse(name string, text []byte) (*Document, error) {
	document, faults := parse(text)
	if len(faults) > 0 {
		sortFaults(faults)
		return nil, &FaultList{Name: name, Faults: faults}
	}
	document.normalize()
	return document, nil
}

func parse(text []byte) (*Document, []Fault) {
	root, faults := parseTree(text)
	if len(faults) > 0 {
		return nil, faults
	}
	document := &Document{}
	document.setDefaults()
	d := decoder{unreadable: map[string]bool{}, unreadableLists: map[string]bool{}}
	d.decodeDocument(root, document)
	if d.unreadable["formatVersion"] {
		return nil, d.faults
	}
	for _, f := range check(document) {
		if d.isConsequence(f) {
			continue
		}
		f.Line, f.Column = locate(root, f.location)
		d.faults = append(d.faults, f)
	}
	return document, d.faults
}

// parseTree returns the root node of the only YAML document in the text.
func parseTree(text []byte) (root ast.Node, faults []Fault) {
	if len(text) > MaxTextBytes {
		message := fmt.Sprintf("the document has %d bytes, more than %d", len(text), MaxTextBytes)
		return nil, []Fault{{Code: TooLarge, Message: message}}
	}
	defer func() {
		// The YAML library panics on a few malformed texts; report these as syntax errors.
		if recover() != nil {
			root, faults = nil, []Fault{{Code: BadSyntax, Line: 1, Column: 1, Message: "the text is not YAML"}}
		}
	}()
	tokens := lexer.Tokenize(string(text))
	if faults := checkTokens(tokens); len(faults) > 0 {
		return nil, faults
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, []Fault{syntaxFault(err)}
	}
	return singleRoot(file)
}

func singleRoot(file *ast.File) (ast.Node, []Fault) {
	var bodies []ast.Node
	for _, d := range file.Docs {
		if d.Body != nil {
			bodies = append(bodies, d.Body)
		}
	}
	if len(bodies) == 0 {
		return nil, []Fault{{Code: MissingValue, Line: 1, Column: 1, Message: "the document is empty"}}
	}
	if len(bodies) > 1 {
		fault := faultAt(bodies[1].GetToken(), BadSyntax, "a second document begins here")
		fault.Suggestion = "write one document for each environment, each in its own file"
		return nil, []Fault{fault}
	}
	return bodies[0], nil
}

// forbiddenTokens are the YAML features that a document may not use because they obscure its contents.
var forbiddenTokens = map[token.Type]string{
	token.AnchorType:     "anchors",
	token.AliasType:      "aliases",
	token.MergeKeyType:   "merge keys",
	token.TagType:        "tags",
	token.DirectiveType:  "directives",
	token.MappingKeyType: "keys that begin with ?",
}

// checkTokens returns a fault for every forbidden token, and stops at an invalid token or at excessive nesting.
func checkTokens(tokens token.Tokens) []Fault {
	var faults []Fault
	depth, entries, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, entries = t.Position.Line, 0
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType:
			entries++
		case token.InvalidType:
			return append(faults, faultAt(t, BadSyntax, t.Error))
		}
		if depth > maxNesting || entries > maxNesting {
			return append(faults, faultAt(t, TooLarge,
				fmt.Sprintf("collections are nested more than %d levels deep", maxNesting)))
		}
		if feature, ok := forbiddenTokens[t.Type]; ok {
			fault := faultAt(t, BadSyntax, feature+" are not allowed")
			fault.Suggestion = "write the value out"
			faults = append(faults, fault)
		}
	}
	return faults
}

func syntaxFault(err error) Fault {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		return faultAt(syntax.Token, BadSyntax, syntax.Message)
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	return Fault{Code: BadSyntax, Line: 1, Column: 1, Message: first}
}

func faultAt(t *token.Token, code refuser.Code, message string) Fault {
	return Fault{Code: code, Line: t.Position.Line, Column: t.Position.Column, Message: message}
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}
