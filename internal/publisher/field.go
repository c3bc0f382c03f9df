package publisher

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Field is one value of a configuration object.
type Field struct {
	// Name is in kebab case.
	Name  string
	Value any
}

// Fields returns the values of an object that are not zero, sorted by name.
func Fields(o *recordv1.ConfigObject) []Field {
	m := o.ProtoReflect()
	f := m.WhichOneof(m.Descriptor().Oneofs().ByName("object"))
	if f == nil {
		return nil
	}
	var out []Field
	m.Get(f).Message().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		out = append(out, Field{strings.ReplaceAll(string(f.Name()), "_", "-"), value(f, v)})
		return true
	})
	slices.SortFunc(out, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// value returns a field's value as plain Go data.
func value(f protoreflect.FieldDescriptor, v protoreflect.Value) any {
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

// enumName returns the value's name without its type, in kebab case.
func enumName(d protoreflect.EnumDescriptor, n protoreflect.EnumNumber) string {
	v := d.Values().ByNumber(n)
	if v == nil {
		return fmt.Sprint(n)
	}
	// The zero value's name begins with the type's name in capitals.
	prefix := strings.TrimSuffix(string(d.Values().ByNumber(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(string(v.Name()), prefix), "_", "-"))
}

// KindName returns the name of an object's kind.
func KindName(o *recordv1.ConfigObject) string {
	return kindNames[folder.ObjectKey(o).GetKind()]
}

// changeLine says in words what an upsert changes of the object in force.
func changeLine(was, is *recordv1.ConfigObject) string {
	name := keyText(folder.ObjectKey(is))
	fields := Fields(is)
	if was == nil {
		return "add " + name + ": " + join(fields)
	}
	old := make(map[string]string)
	for _, f := range Fields(was) {
		old[f.Name] = fmt.Sprint(f.Value)
	}
	var parts []string
	for _, f := range fields {
		if v := fmt.Sprint(f.Value); old[f.Name] != v {
			parts = append(parts, fmt.Sprintf("%s %s → %s", f.Name, orNone(old[f.Name]), v))
		}
		delete(old, f.Name)
	}
	for n, v := range old {
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

func join(fields []Field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = fmt.Sprintf("%s %v", f.Name, f.Value)
	}
	return strings.Join(parts, ", ")
}
