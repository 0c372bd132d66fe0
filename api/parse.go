package api

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

// Bounds on the nesting of a document's text; a valid document nests 8 deep.
const (
	maxFlowDepth   = 32
	maxBlockColumn = 512
)

// ParseDocument decodes a fleet document from YAML or JSON. Unknown fields,
// wrong types, repeated keys, anchors, aliases and tags are faults. Every
// unknown field is reported; of the faults that the decoder itself finds, the
// first. The error is a *DocumentError. The document is not yet validated.
func ParseDocument(text []byte) (Document, error) {
	root, faults := parseText(text)
	if len(faults) > 0 {
		return Document{}, &DocumentError{Faults: faults}
	}
	w := &fieldWalk{paths: make(map[*token.Token]string)}
	w.node(root, reflect.TypeFor[Document](), "")
	if len(w.faults) > 0 {
		return Document{}, &DocumentError{Faults: w.faults}
	}
	var doc Document
	if err := yaml.NodeToValue(root, &doc, yaml.Strict()); err != nil {
		return Document{}, &DocumentError{Faults: []Fault{w.decodeFault(err)}}
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
		return nil, []Fault{(&fieldWalk{}).decodeFault(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, []Fault{{Message: fmt.Sprintf("exactly one document is expected; the text has %d", len(file.Docs))}}
	}
	return file.Docs[0].Body, nil
}

// tokenFault refuses constructs that could make parsing or decoding costly:
// deep nesting, and references that repeat parts of the document.
func tokenFault(tokens token.Tokens) (Fault, bool) {
	depth := 0
	for _, tk := range tokens {
		switch tk.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType:
			return Fault{Path: position(tk), Message: "anchors, aliases, merge keys and tags are not allowed"}, true
		}
		nested := tk.Type == token.SequenceEntryType || tk.Type == token.MappingKeyType
		if depth > maxFlowDepth || nested && tk.Position.Column > maxBlockColumn {
			return Fault{Path: position(tk), Message: "the document nests too deep"}, true
		}
	}
	return Fault{}, false
}

// fieldWalk compares a syntax tree with the fields of a type.
type fieldWalk struct {
	faultList
	// paths gives the field path of each value's token, for the faults of the decoder.
	paths map[*token.Token]string
}

func (w *fieldWalk) node(n ast.Node, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if n == nil {
		return
	}
	w.paths[n.GetToken()] = path
	if u, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler); ok {
		w.text(u, n, path)
		return
	}
	switch n := n.(type) {
	case *ast.SequenceNode:
		w.sequence(n, t, path)
	case *ast.MappingNode:
		w.mapping(n.Values, t, path)
	case *ast.MappingValueNode:
		w.mapping([]*ast.MappingValueNode{n}, t, path)
	}
}

// text checks a scalar that is decoded from its text.
func (w *fieldWalk) text(u encoding.TextUnmarshaler, n ast.Node, path string) {
	scalar, ok := n.(ast.ScalarNode)
	if !ok {
		w.addf(path, "a single value is expected here")
		return
	}
	if err := u.UnmarshalText([]byte(scalar.GetToken().Value)); err != nil {
		w.addf(path, "%s (%s)", err, position(n.GetToken()))
	}
}

func (w *fieldWalk) sequence(n *ast.SequenceNode, t reflect.Type, path string) {
	if t.Kind() != reflect.Slice {
		w.addf(path, "a list is not expected here")
		return
	}
	for i, v := range n.Values {
		w.node(v, t.Elem(), item(path, i))
	}
}

func (w *fieldWalk) mapping(values []*ast.MappingValueNode, t reflect.Type, path string) {
	if t.Kind() != reflect.Struct {
		w.addf(path, "fields are not expected here")
		return
	}
	for _, v := range values {
		key := v.Key.GetToken().Value
		field, ok := fieldByTag(t, key)
		if !ok {
			w.addf(joinPath(path, key), "unknown field (%s)", position(v.Key.GetToken()))
			continue
		}
		w.node(v.Value, field.Type, joinPath(path, key))
	}
}

// decodeFault turns an error of the YAML library into a fault.
func (w *fieldWalk) decodeFault(err error) Fault {
	var yerr yaml.Error
	if !errors.As(err, &yerr) {
		return Fault{Message: err.Error()}
	}
	tk := yerr.GetToken()
	path, ok := w.paths[tk]
	if !ok {
		return Fault{Path: position(tk), Message: yerr.GetMessage()}
	}
	return Fault{Path: path, Message: fmt.Sprintf("%s (%s)", yerr.GetMessage(), position(tk))}
}

// fieldByTag finds the field of struct type t whose json tag is name.
func fieldByTag(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func joinPath(path, key string) string {
	if len(key) > MaxNameLen {
		key = key[:MaxNameLen] + "..."
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func position(tk *token.Token) string {
	if tk == nil || tk.Position == nil {
		return ""
	}
	return fmt.Sprintf("line %d, column %d", tk.Position.Line, tk.Position.Column)
}
