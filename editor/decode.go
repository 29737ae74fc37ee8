package editor

import (
	"encoding"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// DecodeTables decodes tables. For an invalid value it returns a
// *egretflow.FieldError that names the exact field, which encoding/json does not do
// for unknown fields and enums.
func DecodeTables(data []byte) (*egretflow.Tables, error) {
	if err := checkFields("", reflect.TypeFor[egretflow.Tables](), data); err != nil {
		return nil, err
	}
	var t egretflow.Tables
	err := json.Unmarshal(data, &t)
	var field *egretflow.FieldError
	if errors.As(err, &field) {
		return nil, field
	}
	if err != nil {
		return nil, fmt.Errorf("decode tables: %w", err)
	}
	return &t, nil
}

func decodeTree(root any) (*egretflow.Tables, error) {
	data, err := json.Marshal(root)
	if err != nil {
		return nil, fmt.Errorf("encode tables: %w", err)
	}
	return DecodeTables(data)
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkFields decodes value field by field as type t and returns a
// *egretflow.FieldError for the first field that cannot be decoded. at is the name
// of value in errors, such as Pools[0].Servers[3].
func checkFields(at string, t reflect.Type, value json.RawMessage) error {
	switch {
	case reflect.PointerTo(t).Implements(textUnmarshaler):
		return checkLeaf(at, t, value)
	case t.Kind() == reflect.Struct:
		return checkStruct(at, t, value)
	case t.Kind() == reflect.Slice:
		return checkSlice(at, t, value)
	}
	return checkLeaf(at, t, value)
}

func checkStruct(at string, t reflect.Type, value json.RawMessage) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return fieldError(at, "must be a JSON object", err)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		path := name
		if at != "" {
			path = at + "." + name
		}
		f, ok := t.FieldByName(name)
		if !ok {
			return &egretflow.FieldError{Field: path, Reason: "unknown field"}
		}
		if err := checkFields(path, f.Type, fields[name]); err != nil {
			return err
		}
	}
	return nil
}

func checkSlice(at string, t reflect.Type, value json.RawMessage) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(value, &elements); err != nil {
		return fieldError(at, "must be a JSON array", err)
	}
	for n, element := range elements {
		if err := checkFields(fmt.Sprintf("%s[%d]", at, n), t.Elem(), element); err != nil {
			return err
		}
	}
	return nil
}

func checkLeaf(at string, t reflect.Type, value json.RawMessage) error {
	err := json.Unmarshal(value, reflect.New(t).Interface())
	if err == nil {
		return nil
	}
	return fieldError(at, "must be of type "+t.String(), err)
}

// fieldError returns an error for the field at. The reason replaces the text of err
// if that would describe Go types to the operator.
func fieldError(at, reason string, err error) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		reason = err.Error()
	}
	if at == "" {
		at = "Tables"
	}
	return &egretflow.FieldError{Field: at, Reason: reason}
}
