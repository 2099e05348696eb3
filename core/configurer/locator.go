package configurer

import (
	"reflect"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// field is one key that a mapping of a document may have; position is the index of the struct field.
type field struct {
	name     string
	position int
	required bool
}

type fieldList []field

// listFields returns the keys of a mapping from the tags of its struct type.
func listFields(structType reflect.Type) fieldList {
	fields := make(fieldList, 0, structType.NumField())
	for i := range structType.NumField() {
		tag := structType.Field(i).Tag
		fields = append(fields, field{name: tag.Get("yaml"), position: i, required: tag.Get("rule") == "required"})
	}
	return fields
}

func (l fieldList) index(name string) (int, bool) {
	for _, f := range l {
		if f.name == name {
			return f.position, true
		}
	}
	return 0, false
}

func (l fieldList) names() []string {
	names := make([]string, 0, len(l))
	for _, f := range l {
		names = append(names, f.name)
	}
	return names
}

// locate returns line and column of the value at a location, or of the closest enclosing node if the text lacks the
// value.
func locate(root ast.Node, where location) (line, column int) {
	node := root
	if found := valueOf(node, where.list); found != nil {
		node = found
		if sequence, ok := node.(*ast.SequenceNode); ok && where.index >= 0 && where.index < len(sequence.Values) {
			node = sequence.Values[where.index]
		}
		if found := valueOf(node, where.field); found != nil {
			node = found
		}
	}
	position := startOf(node).Position
	return position.Line, position.Column
}

func valueOf(node ast.Node, key string) ast.Node {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		return nil
	}
	for _, v := range mapping.Values {
		if v.Key.GetToken().Value == key {
			return v.Value
		}
	}
	return nil
}

// startOf returns a node's first token. The library's own token of a block mapping is the colon after its first key.
func startOf(node ast.Node) *token.Token {
	mapping, ok := node.(*ast.MappingNode)
	if ok && !mapping.IsFlowStyle && len(mapping.Values) > 0 {
		return mapping.Values[0].Key.GetToken()
	}
	return node.GetToken()
}
