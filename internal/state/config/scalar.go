package config

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// setScalar sets a field from a YAML scalar. It returns a description of what is
// wrong with the value, or an empty string if the field was set.
func setScalar(field reflect.Value, node *yaml.Node) string {
	if node.Kind == yaml.AliasNode {
		return "aliases are not supported"
	}
	if node.Kind != yaml.ScalarNode {
		return "must be a scalar value"
	}
	if node.Tag == "!!null" {
		return "the value is missing"
	}
	switch field.Type() {
	case durationType:
		return setDuration(field, node)
	case timeType:
		return setTime(field, node)
	}
	switch field.Kind() {
	case reflect.String:
		return setString(field, node)
	case reflect.Int, reflect.Int64:
		return setInt(field, node)
	case reflect.Float64:
		return setFloat(field, node)
	case reflect.Bool:
		return setBool(field, node)
	default:
		panic(fmt.Sprintf("config: unsupported field type %s", field.Type()))
	}
}

// setString sets numbers as they are written in the file, so that version 1.10
// doesn't become 1.1.
func setString(field reflect.Value, node *yaml.Node) string {
	switch node.Tag {
	case "!!str", "!!int", "!!float":
		field.SetString(node.Value)
		return ""
	default:
		return fmt.Sprintf("%q must be quoted to be read as a string", node.Value)
	}
}

func setInt(field reflect.Value, node *yaml.Node) string {
	value, err := strconv.ParseInt(node.Value, 10, 64)
	if node.Tag != "!!int" || err != nil {
		return fmt.Sprintf("%q is not an integer", node.Value)
	}
	field.SetInt(value)
	return ""
}

func setFloat(field reflect.Value, node *yaml.Node) string {
	value, err := strconv.ParseFloat(node.Value, 64)
	number := node.Tag == "!!float" || node.Tag == "!!int"
	if !number || err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Sprintf("%q is not a finite number", node.Value)
	}
	field.SetFloat(value)
	return ""
}

func setBool(field reflect.Value, node *yaml.Node) string {
	if node.Tag != "!!bool" || (node.Value != "true" && node.Value != "false") {
		return fmt.Sprintf("%q is neither true nor false", node.Value)
	}
	field.SetBool(node.Value == "true")
	return ""
}

func setDuration(field reflect.Value, node *yaml.Node) string {
	value, err := time.ParseDuration(node.Value)
	if err != nil || node.Tag != "!!str" {
		return fmt.Sprintf("%q is not a duration with a unit, such as 250ms, 30s or 2h", node.Value)
	}
	field.SetInt(int64(value))
	return ""
}

func setTime(field reflect.Value, node *yaml.Node) string {
	value, err := time.Parse(time.RFC3339, node.Value)
	if err != nil {
		return fmt.Sprintf("%q is not a time with a time zone, such as 2030-01-31T18:00:00Z", node.Value)
	}
	field.Set(reflect.ValueOf(value.Round(0).UTC()))
	return ""
}
