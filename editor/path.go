package editor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/egretflow/egretflow"
)

// The functions below edit a document as a tree of map[string]any, []any and
// scalars. Numbers are of type json.Number, so that they keep all digits.

// ValueAt returns the JSON value at path, or a *egretflow.FieldError if it does
// not exist.
func ValueAt(t *egretflow.Tables, path string) (json.RawMessage, error) {
	node, err := toTree(t)
	if err != nil {
		return nil, err
	}
	segments := splitPath(path)
	for n, segment := range segments {
		if node, err = child(node, segment, strings.Join(segments[:n+1], "/")); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(node)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	return data, nil
}

// applySteps applies steps to a copy of t and returns the result if it is valid.
func applySteps(t *egretflow.Tables, steps []Step) (*egretflow.Tables, error) {
	root, err := toTree(t)
	if err != nil {
		return nil, err
	}
	for _, s := range steps {
		if root, err = s.apply(root); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(root)
	if err != nil {
		return nil, fmt.Errorf("encode tables: %w", err)
	}
	next, err := DecodeTables(data)
	if err != nil {
		return nil, err
	}
	replaceNilLists(next)
	return next, nil
}

func (s *Step) apply(root any) (any, error) {
	segments := splitPath(s.Path)
	switch s.Operation {
	case OperationDelete:
		if len(segments) == 0 {
			return nil, &egretflow.FieldError{Field: "Path", Reason: "the whole document cannot be deleted"}
		}
		return editAt(root, segments, 0, deleteChild)
	case OperationSet:
		value, err := parseJSON(s.Value)
		if err != nil {
			return nil, &egretflow.FieldError{Field: s.Path, Reason: err.Error()}
		}
		if len(segments) == 0 {
			return value, nil
		}
		return editAt(root, segments, 0, func(parent any, name, at string) (any, error) {
			return setChild(parent, name, at, value)
		})
	}
	return nil, &egretflow.FieldError{Field: "Operation", Reason: fmt.Sprintf("unknown operation %q", s.Operation)}
}

// editFunc sets or deletes the child called name of parent and returns the modified
// parent. at is the path of the child, for errors.
type editFunc func(parent any, name, at string) (any, error)

// editAt descends from node, the value at segments[:depth], to the parent of the
// last segment and calls edit with it. It returns the modified node.
func editAt(node any, segments []string, depth int, edit editFunc) (any, error) {
	at := strings.Join(segments[:depth+1], "/")
	if depth == len(segments)-1 {
		return edit(node, segments[depth], at)
	}
	next, err := child(node, segments[depth], at)
	if err != nil {
		return nil, err
	}
	if next, err = editAt(next, segments, depth+1, edit); err != nil {
		return nil, err
	}
	return setChild(node, segments[depth], at, next)
}

func child(parent any, name, at string) (any, error) {
	switch p := parent.(type) {
	case map[string]any:
		if value, ok := p[name]; ok {
			return value, nil
		}
	case []any:
		if n := indexByName(p, name); n >= 0 {
			return p[n], nil
		}
	}
	return nil, &egretflow.FieldError{Field: at, Reason: "does not exist"}
}

// setChild sets the child called name of parent and returns the modified parent. A
// nil parent becomes a list. An element of a list gets name as its Name if it has
// none.
func setChild(parent any, name, at string, value any) (any, error) {
	switch p := parent.(type) {
	case map[string]any:
		p[name] = value
		return p, nil
	case nil:
		return setChild([]any{}, name, at, value)
	case []any:
		element, ok := value.(map[string]any)
		if !ok {
			return nil, &egretflow.FieldError{Field: at, Reason: "must be a JSON object"}
		}
		if element["Name"] == nil {
			element["Name"] = name
		}
		if element["Name"] != name {
			return nil, &egretflow.FieldError{Field: at + "/Name", Reason: fmt.Sprintf("must be %q or left out", name)}
		}
		if n := indexByName(p, name); n >= 0 {
			p[n] = element
			return p, nil
		}
		return append(p, element), nil
	}
	return nil, &egretflow.FieldError{Field: at, Reason: "does not exist"}
}

func deleteChild(parent any, name, at string) (any, error) {
	if _, err := child(parent, name, at); err != nil {
		return nil, err
	}
	if p, ok := parent.(map[string]any); ok {
		delete(p, name)
		return p, nil
	}
	p := parent.([]any)
	n := indexByName(p, name)
	return slices.Delete(p, n, n+1), nil
}

func indexByName(list []any, name string) int {
	return slices.IndexFunc(list, func(element any) bool {
		m, ok := element.(map[string]any)
		return ok && m["Name"] == name
	})
}

func splitPath(path string) []string {
	path = strings.Trim(path, "/")
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}

func toTree(t *egretflow.Tables) (any, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encode tables: %w", err)
	}
	return parseJSON(data)
}

func parseJSON(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var value any
	if err := dec.Decode(&value); err != nil {
		return nil, fmt.Errorf("parse JSON: %w", err)
	}
	if dec.More() {
		return nil, fmt.Errorf("parse JSON: more than one value")
	}
	return value, nil
}
