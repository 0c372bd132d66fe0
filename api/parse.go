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

// ParseDocument decodes a fleet document from YAML or JSON. Unknown fields,
// wrong types, repeated fields, anchors, aliases and tags are faults. Every
// unknown field and wrong type is reported; of the faults of syntax, the first.
// The error is a *DocumentError. The document is not yet validated.
func ParseDocument(text []byte) (Document, error) {
	root, faults := parseText(text)
	if len(faults) > 0 {
		return Document{}, &DocumentError{Faults: faults}
	}
	var doc Document
	d := &decoder{}
	d.value(root, reflect.ValueOf(&doc).Elem(), "")
	if len(d.faults) > 0 {
		return Document{}, &DocumentError{Faults: d.faults}
	}
	return doc, nil
}

// LoadDocument parses and validates a document. The error is a *DocumentError
// with every fault found.
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

// parseText returns the syntax tree of the single document in text.
func parseText(text []byte) (ast.Node, []Fault) {
	if len(text) > MaxDocumentBytes {
		return nil, []Fault{{Message: fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(text), MaxDocumentBytes)}}
	}
	tokens := lexer.Tokenize(string(text))
	if f, ok := tokenFault(tokens); ok {
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

// syntaxFault turns an error of the YAML library into a fault.
func syntaxFault(err error) Fault {
	var yerr yaml.Error
	if !errors.As(err, &yerr) {
		return Fault{Message: err.Error()}
	}
	return Fault{Path: position(yerr.GetToken()), Message: yerr.GetMessage()}
}

func position(tk *token.Token) string {
	if tk == nil || tk.Position == nil {
		return ""
	}
	return fmt.Sprintf("line %d, column %d", tk.Position.Line, tk.Position.Column)
}
