package configurer

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"

	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/suggester"
)

// decoder decodes a syntax tree into a document and collects every fault.
type decoder struct {
	faults []Fault
	// unreadable holds the index paths of values that could not be decoded, unreadableLists the lists with such a
	// value.
	unreadable      map[string]bool
	unreadableLists map[string]bool
}

// defaulter is a value with defaults, set before decoding.
type defaulter interface{ setDefaults() }

var durationType = reflect.TypeFor[time.Duration]()

func (d *decoder) decodeDocument(root ast.Node, document *Document) {
	d.decode(root, reflect.ValueOf(document).Elem(), "")
}

// decode decodes a node into a value. The path contains indexes and not names, such as "classes[2].deadline".
func (d *decoder) decode(node ast.Node, target reflect.Value, path string) {
	switch {
	case target.Type() == durationType:
		d.decodeDuration(node, target, path)
	case target.Kind() == reflect.Struct:
		d.decodeMapping(node, target, path)
	case target.Kind() == reflect.Slice:
		d.decodeSequence(node, target, path)
	default:
		d.decodeScalar(node, target, path)
	}
}

func (d *decoder) decodeMapping(node ast.Node, target reflect.Value, path string) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		d.addTypeFault(node, path, "a mapping of keys to values")
		return
	}
	fields := listFields(target.Type())
	seen := map[string]*token.Token{}
	misspelt := map[string]bool{}
	for _, v := range mapping.Values {
		key := v.Key.GetToken()
		if first, ok := seen[key.Value]; ok {
			message := fmt.Sprintf("key %q is given twice, first on line %d", key.Value, first.Position.Line)
			d.add(key, DuplicateKey, joinPath(path, key.Value), message, "keep one of them")
			continue
		}
		seen[key.Value] = key
		index, ok := fields.index(key.Value)
		if !ok {
			misspelt[d.addUnknownKey(key, fields, path)] = true
			continue
		}
		d.decode(v.Value, target.Field(index), joinPath(path, key.Value))
	}
	for _, f := range fields {
		if !f.required || seen[f.name] != nil {
			continue
		}
		d.markUnreadable(joinPath(path, f.name))
		if !misspelt[f.name] {
			d.add(startOf(mapping), MissingValue, joinPath(path, f.name), fmt.Sprintf("key %q is missing", f.name), "")
		}
	}
}

// addUnknownKey adds a fault and returns the valid key that is most similar, whose value is marked as unreadable; empty
// if none is similar.
func (d *decoder) addUnknownKey(key *token.Token, fields fieldList, path string) string {
	nearest := suggester.FindNearest(key.Value, fields.names())
	suggestion := "known keys here: " + strings.Join(fields.names(), ", ")
	if nearest != "" {
		suggestion = fmt.Sprintf("did you mean %q?", nearest)
		d.markUnreadable(joinPath(path, nearest))
	}
	d.add(key, UnknownKey, joinPath(path, key.Value), fmt.Sprintf("unknown key %q", key.Value), suggestion)
	return nearest
}

func (d *decoder) decodeSequence(node ast.Node, target reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addTypeFault(node, path, "a list")
		return
	}
	if len(sequence.Values) == 0 {
		return
	}
	list := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, n := range sequence.Values {
		if element, ok := list.Index(i).Addr().Interface().(defaulter); ok {
			element.setDefaults()
		}
		d.decode(n, list.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
	target.Set(list)
}

func (d *decoder) decodeDuration(node ast.Node, target reflect.Value, path string) {
	text, ok := scalarText(node)
	if !ok {
		d.addTypeFault(node, path, "a duration with its unit, such as 2s")
		return
	}
	duration, err := time.ParseDuration(text)
	if err == nil && strings.ContainsAny(text, "hmsuµn") {
		target.SetInt(int64(duration))
		return
	}
	suggestion := "write a number with its unit: ms, s, m or h, such as 2s or 1m30s"
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		suggestion = fmt.Sprintf("write the unit, such as %ss", text)
	}
	d.add(node.GetToken(), BadDuration, path, fmt.Sprintf("%q is not a duration", text), suggestion)
}

func (d *decoder) decodeScalar(node ast.Node, target reflect.Value, path string) {
	text, ok := scalarText(node)
	if !ok {
		d.addTypeFault(node, path, describeKind(target.Kind()))
		return
	}
	var err error
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" {
			d.addTypeFault(node, path, describeKind(target.Kind()))
			return
		}
		target.SetBool(text == "true")
	case reflect.Int:
		var number int64
		number, err = strconv.ParseInt(text, 10, 32)
		target.SetInt(number)
	case reflect.Float64:
		var number float64
		number, err = strconv.ParseFloat(text, 64)
		target.SetFloat(number)
	}
	if err != nil {
		d.addTypeFault(node, path, describeKind(target.Kind()))
	}
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

// scalarText returns the source text of a scalar, so that a version such as 1.10 keeps its trailing zero.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return strings.TrimSpace(n.GetToken().Value), true
	default:
		return "", false
	}
}

func (d *decoder) addTypeFault(node ast.Node, path, expected string) {
	found := "the value"
	if text, ok := scalarText(node); ok {
		found = strconv.Quote(text)
	}
	if node.Type() == ast.NullType {
		d.add(node.GetToken(), MissingValue, path, "the value is empty", "write "+expected+" or leave the key out")
		return
	}
	d.add(startOf(node), BadValue, path, found+" is not "+expected, "")
}

func (d *decoder) add(t *token.Token, code refuser.Code, path, message, suggestion string) {
	d.markUnreadable(path)
	fault := faultAt(t, code, message)
	fault.Path, fault.Suggestion = path, suggestion
	d.faults = append(d.faults, fault)
}

// isConsequence reports whether a semantic fault may merely be a consequence of a value that could not be decoded.
func (d *decoder) isConsequence(f Fault) bool {
	if d.unreadable[f.location.String()] || d.unreadable[f.location.list] {
		return true
	}
	if f.location.index != noIndex && d.unreadable[location{list: f.location.list, index: f.location.index}.String()] {
		return true
	}
	return f.refersTo != "" && (d.unreadable[f.refersTo] || d.unreadableLists[f.refersTo])
}

func (d *decoder) markUnreadable(path string) {
	d.unreadable[path] = true
	if list, _, ok := strings.Cut(path, "["); ok {
		d.unreadableLists[list] = true
	}
}
