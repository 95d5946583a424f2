package tomlfile

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"
)

// Key describes one key of a table: its type, unit, default and range. Both the
// check of a file and its documentation use it. T is the type that the table
// fills.
type Key[T any] struct {
	Name        string
	Description string
	// Unit is the unit of a number, such as "bytes". A duration is written
	// with its unit.
	Unit     string
	Required bool
	// Default is the value of a missing key; nil leaves the field unchanged.
	Default any
	// Min and Max are inclusive bounds; nil means unbounded or checked
	// elsewhere.
	Min, Max any
	// Range describes the accepted values when Min and Max are nil.
	Range string
	// Field returns a pointer to the field, whose underlying type is string,
	// int, int64, float64, bool, time.Duration or a slice of strings.
	Field func(*T) any
	// Valid reports whether a string is accepted; nil accepts all.
	Valid func(text string) bool
	// Parse sets a field of any other type from a string and reports whether
	// the string is valid. It replaces Field and Valid.
	Parse func(value *T, text string) bool
}

var durationType = reflect.TypeFor[time.Duration]()

// Fill reads every key of a table into value. It reports keys that are missing,
// of the wrong type or out of range.
func Fill[T any](t *Table, keys []Key[T], value *T) {
	for _, key := range keys {
		key.fill(t, value)
	}
}

func (k Key[T]) fill(t *Table, value *T) {
	raw, ok := t.take(k.Name)
	path := t.pathOf(k.Name)
	if !ok {
		if k.Required {
			t.doc.Report(path, "is missing", k.Expected())
		} else if k.Default != nil {
			k.set(value, k.Default)
		}
		return
	}
	if k.Parse != nil {
		text, isText := raw.(string)
		if !isText || !k.Parse(value, text) {
			t.doc.Report(path, fmt.Sprintf("is %s", describe(raw)), k.Expected())
		}
		return
	}
	converted, ok := convert(raw, reflect.TypeOf(k.Field(value)).Elem())
	if !ok || !k.inRange(converted) {
		t.doc.Report(path, "is "+describe(raw), k.Expected())
		return
	}
	k.set(value, converted)
}

func (k Key[T]) set(value *T, to any) {
	if k.Parse != nil {
		k.Parse(value, to.(string))
		return
	}
	field := reflect.ValueOf(k.Field(value)).Elem()
	field.Set(reflect.ValueOf(to).Convert(field.Type()))
}

// convert converts a decoded TOML value to the field's type. It reports whether
// that is possible.
func convert(raw any, to reflect.Type) (any, bool) {
	if to == durationType {
		text, ok := raw.(string)
		d, err := time.ParseDuration(text)
		return d, ok && err == nil
	}
	switch v := raw.(type) {
	case string:
		return v, to.Kind() == reflect.String
	case bool:
		return v, to.Kind() == reflect.Bool
	case float64:
		return v, to.Kind() == reflect.Float64 && !math.IsNaN(v) && !math.IsInf(v, 0)
	case int64:
		switch to.Kind() {
		case reflect.Int, reflect.Int64:
			return v, true
		case reflect.Float64:
			return float64(v), true
		}
	case []any:
		return convertTexts(v, to)
	}
	return nil, false
}

func convertTexts(items []any, to reflect.Type) (any, bool) {
	if to.Kind() != reflect.Slice || to.Elem().Kind() != reflect.String {
		return nil, false
	}
	slice := reflect.MakeSlice(to, 0, len(items))
	for _, item := range items {
		text, ok := item.(string)
		if !ok {
			return nil, false
		}
		slice = reflect.Append(slice, reflect.ValueOf(text).Convert(to.Elem()))
	}
	return slice.Interface(), true
}

func (k Key[T]) inRange(value any) bool {
	if text, ok := value.(string); ok && k.Valid != nil {
		return k.Valid(text)
	}
	return (k.Min == nil || compare(value, k.Min) >= 0) && (k.Max == nil || compare(value, k.Max) <= 0)
}

// compare returns -1, 0 or 1 for two numbers of the types that convert returns.
func compare(a, b any) int {
	x, y := number(a), number(b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

func number(v any) float64 {
	r := reflect.ValueOf(v)
	if r.CanInt() {
		return float64(r.Int())
	}
	return r.Float()
}

// Expected describes the accepted type, range and unit in words.
func (k Key[T]) Expected() string {
	text := k.Type()
	switch bounds := k.bounds(); {
	case bounds != "":
		text += " " + bounds
	case k.Range != "":
		text += ": " + k.Range
	}
	if k.Unit != "" {
		text += " (" + k.Unit + ")"
	}
	return text
}

func (k Key[T]) bounds() string {
	switch {
	case k.Min != nil && k.Max != nil:
		return fmt.Sprintf("from %v to %v", k.Min, k.Max)
	case k.Min != nil:
		return fmt.Sprintf("of at least %v", k.Min)
	case k.Max != nil:
		return fmt.Sprintf("of at most %v", k.Max)
	}
	return ""
}

// Type returns the key's TOML type in words.
func (k Key[T]) Type() string {
	if k.Parse != nil {
		return "a text"
	}
	var zero T
	to := reflect.TypeOf(k.Field(&zero)).Elem()
	if to == durationType {
		return `a duration such as "250ms"`
	}
	switch to.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list of texts"
	default:
		return "a whole number"
	}
}

// describe returns a scalar value as it reads in a finding, or the name of its
// type.
func describe(raw any) string {
	switch v := raw.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case int64, float64, bool:
		return fmt.Sprint(v)
	default:
		return typeName(raw)
	}
}

func typeName(raw any) string {
	switch raw.(type) {
	case string:
		return "a text"
	case int64, float64:
		return "a number"
	case bool:
		return "a boolean"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

// Markdown returns a Markdown table of the keys, whose names get a prefix such as
// "lease.".
func Markdown[T any](prefix string, keys []Key[T]) string {
	var b strings.Builder
	b.WriteString("| key | meaning | accepts | default |\n|---|---|---|---|\n")
	for _, k := range keys {
		defaultText := "none"
		switch {
		case k.Required:
			defaultText = "required"
		case k.Default != nil && k.Default != "":
			defaultText = fmt.Sprintf("`%v`", k.Default)
		}
		fmt.Fprintf(&b, "| `%s%s` | %s | %s | %s |\n", prefix, k.Name, k.Description, k.Expected(), defaultText)
	}
	return b.String()
}
