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

// setScalar sets a field from a plain value and returns what is wrong with it;
// an empty string means nothing.
func setScalar(field reflect.Value, node *yaml.Node) string {
	if node.Kind == yaml.AliasNode {
		return "aliases are not supported"
	}
	if node.Kind != yaml.ScalarNode {
		return "a plain value is needed"
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
		panic(fmt.Sprintf("config: a field of type %s can't be read", field.Type()))
	}
}

// setString takes numbers as they are written, so that version 1.10 keeps its
// last digit.
func setString(field reflect.Value, node *yaml.Node) string {
	switch node.Tag {
	case "!!str", "!!int", "!!float":
		field.SetString(node.Value)
		return ""
	default:
		return fmt.Sprintf("%q must be quoted to be a text", node.Value)
	}
}

func setInt(field reflect.Value, node *yaml.Node) string {
	value, err := strconv.ParseInt(node.Value, 10, 64)
	if node.Tag != "!!int" || err != nil {
		return fmt.Sprintf("%q is no whole number", node.Value)
	}
	field.SetInt(value)
	return ""
}

func setFloat(field reflect.Value, node *yaml.Node) string {
	value, err := strconv.ParseFloat(node.Value, 64)
	number := node.Tag == "!!float" || node.Tag == "!!int"
	if !number || err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Sprintf("%q is no number", node.Value)
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
		return fmt.Sprintf("%q is no duration with a unit, such as 250ms, 30s or 2h", node.Value)
	}
	field.SetInt(int64(value))
	return ""
}

func setTime(field reflect.Value, node *yaml.Node) string {
	value, err := time.Parse(time.RFC3339, node.Value)
	if err != nil {
		return fmt.Sprintf("%q is no time with a zone, such as 2030-01-31T18:00:00Z", node.Value)
	}
	field.Set(reflect.ValueOf(value.Round(0).UTC()))
	return ""
}
