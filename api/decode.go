package api

import (
	"encoding"
	"math"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// decoder decodes a syntax tree into typed values and collects every fault.
// Fields are matched by their json tags. It replaces the YAML library's decoder,
// which stops at the first fault and takes quadratic time in the number of
// durations.
type decoder struct {
	faultList
}

// decode decodes node n into v. A null node leaves v unchanged.
func (d *decoder) decode(n ast.Node, v reflect.Value, path string) {
	if n == nil || n.Type() == ast.NullType {
		return
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(n, v.Elem(), path)
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Slice:
		d.decodeSlice(n, v, path)
	case reflect.String:
		d.decodeString(n, v, path)
	case reflect.Bool:
		d.decodeBool(n, v, path)
	case reflect.Int, reflect.Int64:
		d.decodeInt(n, v, path)
	case reflect.Float64:
		d.decodeFloat(n, v, path)
	default:
		d.addTypeFault(n, path, "nothing")
	}
}

// addTypeFault reports that n is not of the expected kind.
func (d *decoder) addTypeFault(n ast.Node, path, kind string) {
	d.addf(path, "%s is expected here (%s)", kind, position(n.GetToken()))
}

func (d *decoder) decodeStruct(n ast.Node, v reflect.Value, path string) {
	var fields []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		fields = n.Values
	case *ast.MappingValueNode:
		fields = []*ast.MappingValueNode{n}
	default:
		d.addTypeFault(n, path, "a mapping of fields")
		return
	}
	for _, f := range fields {
		key := f.Key.GetToken()
		index, ok := fieldByTag(v.Type(), key.Value)
		if !ok {
			d.addf(joinPath(path, key.Value), "unknown field (%s)", position(key))
			continue
		}
		d.decode(f.Value, v.Field(index), joinPath(path, key.Value))
	}
}

func (d *decoder) decodeSlice(n ast.Node, v reflect.Value, path string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addTypeFault(n, path, "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, item := range seq.Values {
		d.decode(item, v.Index(i), itemPath(path, i))
	}
}

func (d *decoder) decodeText(n ast.Node, u encoding.TextUnmarshaler, path string) {
	scalar, ok := n.(ast.ScalarNode)
	if !ok {
		d.addTypeFault(n, path, "a single value")
		return
	}
	if err := u.UnmarshalText([]byte(scalar.GetToken().Value)); err != nil {
		d.addf(path, "%s (%s)", err, position(n.GetToken()))
	}
}

func (d *decoder) decodeString(n ast.Node, v reflect.Value, path string) {
	switch n := n.(type) {
	case *ast.StringNode:
		v.SetString(n.Value)
	case *ast.LiteralNode:
		v.SetString(n.Value.Value)
	default:
		d.addTypeFault(n, path, "text, in quotes if it looks like another value,")
	}
}

func (d *decoder) decodeBool(n ast.Node, v reflect.Value, path string) {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		d.addTypeFault(n, path, "true or false")
		return
	}
	v.SetBool(b.Value)
}

func (d *decoder) decodeInt(n ast.Node, v reflect.Value, path string) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.addTypeFault(n, path, "an integer")
		return
	}
	switch x := i.Value.(type) {
	case int64:
		v.SetInt(x)
	case uint64:
		if x > math.MaxInt64 {
			d.addTypeFault(n, path, "a smaller integer")
			return
		}
		v.SetInt(int64(x))
	}
}

func (d *decoder) decodeFloat(n ast.Node, v reflect.Value, path string) {
	switch n := n.(type) {
	case *ast.FloatNode:
		v.SetFloat(n.Value)
	case *ast.InfinityNode:
		v.SetFloat(n.Value)
	case *ast.NanNode:
		v.SetFloat(math.NaN())
	case *ast.IntegerNode:
		switch x := n.Value.(type) {
		case int64:
			v.SetFloat(float64(x))
		case uint64:
			v.SetFloat(float64(x))
		}
	default:
		d.addTypeFault(n, path, "a number")
	}
}

// fieldByTag returns the index of the field of struct type t whose json tag is
// name.
func fieldByTag(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return i, true
		}
	}
	return 0, false
}

// joinPath appends key to path. Keys longer than MaxNameLen are shortened.
func joinPath(path, key string) string {
	if len(key) > MaxNameLen {
		key = key[:MaxNameLen] + "..."
	}
	if path == "" {
		return key
	}
	return path + "." + key
}
