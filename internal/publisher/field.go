package publisher

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Field is a named value of a configuration object.
type Field struct {
	// Name is the field's name in kebab case.
	Name  string
	Value any
}

// Fields returns the fields of an object whose values are not zero, sorted by name.
func Fields(o *recordv1.ConfigObject) []Field {
	m := o.ProtoReflect()
	f := m.WhichOneof(m.Descriptor().Oneofs().ByName("object"))
	if f == nil {
		return nil
	}
	var out []Field
	m.Get(f).Message().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		out = append(out, Field{strings.ReplaceAll(string(f.Name()), "_", "-"), goValue(f, v)})
		return true
	})
	slices.SortFunc(out, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// goValue returns a field's value as a Go value: a list as a slice, an enum by its
// name.
func goValue(f protoreflect.FieldDescriptor, v protoreflect.Value) any {
	switch {
	case f.IsList():
		list := make([]any, v.List().Len())
		for i := range list {
			list[i] = v.List().Get(i).Interface()
		}
		return list
	case f.Enum() != nil:
		return enumName(f.Enum(), v.Enum())
	}
	return v.Interface()
}

// enumName returns the name of an enum value without its type's prefix, in kebab
// case.
func enumName(d protoreflect.EnumDescriptor, n protoreflect.EnumNumber) string {
	v := d.Values().ByNumber(n)
	if v == nil {
		return fmt.Sprint(n)
	}
	// The name of the zero value is the type's prefix followed by UNSPECIFIED.
	prefix := strings.TrimSuffix(string(d.Values().ByNumber(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(string(v.Name()), prefix), "_", "-"))
}

// KindName returns the name of an object's kind, such as contract.
func KindName(o *recordv1.ConfigObject) string {
	return kindNames[applier.ObjectKey(o).GetKind()]
}

// changeLine describes an upsert. before is the object in force, nil if there is
// none.
func changeLine(before, after *recordv1.ConfigObject) string {
	name := keyText(applier.ObjectKey(after))
	fields := Fields(after)
	if before == nil {
		return "add " + name + ": " + joinFields(fields)
	}
	oldValues := make(map[string]string)
	for _, f := range Fields(before) {
		oldValues[f.Name] = fmt.Sprint(f.Value)
	}
	var parts []string
	for _, f := range fields {
		if v := fmt.Sprint(f.Value); oldValues[f.Name] != v {
			parts = append(parts, fmt.Sprintf("%s %s → %s", f.Name, orNone(oldValues[f.Name]), v))
		}
		delete(oldValues, f.Name)
	}
	for n, v := range oldValues {
		parts = append(parts, fmt.Sprintf("%s %s → none", n, v))
	}
	slices.Sort(parts)
	return "change " + name + ": " + strings.Join(parts, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func joinFields(fields []Field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = fmt.Sprintf("%s %v", f.Name, f.Value)
	}
	return strings.Join(parts, ", ")
}
