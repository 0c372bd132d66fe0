package api

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

// ParseDocument decodes a fleet document from YAML or JSON without validating
// it. Unknown fields, wrong types, duplicate fields, anchors, aliases and tags are
// faults. All unknown fields and wrong types are reported, but only the first
// syntax error. The error is a *DocumentError.
func ParseDocument(text []byte) (Document, error) {
	root, faults := parseText(text)
	if len(faults) > 0 {
		return Document{}, &DocumentError{Faults: faults}
	}
	var doc Document
	d := &decoder{}
	d.decode(root, reflect.ValueOf(&doc).Elem(), "")
	if len(d.faults) > 0 {
		return Document{}, &DocumentError{Faults: d.faults}
	}
	return doc, nil
}

// LoadDocument parses a document and, if that succeeds, validates it. The error
// is a *DocumentError that lists the faults of the step that failed.
func LoadDocument(text []byte) (Document, error) {
	doc, err := ParseDocument(text)
	if err != nil {
		return Document{}, err
	}
	if faults := doc.Validate(); len(faults) > 0 {
		return Document{}, &DocumentError{Faults: faults}
	}
	return doc, nil
}

// parseText returns the syntax tree of the only document in text. It checks the
// size and structure of the text before parsing it.
func parseText(text []byte) (ast.Node, []Fault) {
	if len(text) > MaxDocumentBytes {
		return nil, []Fault{{Message: fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(text), MaxDocumentBytes)}}
	}
	tokens := lexer.Tokenize(string(text))
	if f, ok := checkStructure(tokens); ok {
		return nil, []Fault{f}
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, []Fault{syntaxFault(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, []Fault{{Message: fmt.Sprintf("exactly one document is expected; the text has %d", len(file.Docs))}}
	}
	return file.Docs[0].Body, nil
}

// syntaxFault converts an error of the YAML library to a fault.
func syntaxFault(err error) Fault {
	var yerr yaml.Error
	if !errors.As(err, &yerr) {
		return Fault{Message: err.Error()}
	}
	return Fault{Path: position(yerr.GetToken()), Message: yerr.GetMessage()}
}

// position returns the line and column of tk, or "" if they are unknown.
func position(tk *token.Token) string {
	if tk == nil || tk.Position == nil {
		return ""
	}
	return fmt.Sprintf("line %d, column %d", tk.Position.Line, tk.Position.Column)
}
