package configurer

import (
	"reflect"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// field is one key that a part of a document may hold.
type field struct {
	name     string
	position int
	required bool
}

type fieldList []field

// listFields reads the keys of a part from the tags of its type.
func listFields(part reflect.Type) fieldList {
	fields := make(fieldList, 0, part.NumField())
	for i := range part.NumField() {
		tag := part.Field(i).Tag
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

// locate returns line and column of the value at a place, or of the closest thing around it that the text has.
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

// startOf returns a node's first token; the token that the library gives for a mapping is the colon after its first key.
func startOf(node ast.Node) *token.Token {
	mapping, ok := node.(*ast.MappingNode)
	if ok && !mapping.IsFlowStyle && len(mapping.Values) > 0 {
		return mapping.Values[0].Key.GetToken()
	}
	return node.GetToken()
}
