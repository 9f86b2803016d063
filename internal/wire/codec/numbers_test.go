package codec_test

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

// TestLargeNumbersDontWrap sets each int of a call or change to the script's value and prints what arrives.
func TestLargeNumbersDontWrap(t *testing.T) {
	datadriven.RunTest(t, "testdata/large_numbers", func(t *testing.T, d *datadriven.TestData) string {
		value, err := strconv.ParseInt(d.CmdArgs[0].Key, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		switch d.Cmd {
		case "call":
			var call batch.Call
			fillInts(reflect.ValueOf(&call).Elem(), value)
			printInts(&out, reflect.ValueOf(codec.CallFromWire(codec.CallToWire(&call))).Elem(), "")
		case "change":
			command := record.Command{Batch: &batch.Change{}}
			fillInts(reflect.ValueOf(command.Batch).Elem(), value)
			data, err := codec.Codec{}.EncodeCommand(command)
			if err != nil {
				t.Fatal(err)
			}
			got, err := codec.Codec{}.DecodeCommand(data)
			if err != nil {
				t.Fatal(err)
			}
			printInts(&out, reflect.ValueOf(got.Batch).Elem(), "")
		default:
			t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
		}
		return out.String()
	})
}

// fillInts sets every field of type int to a value; slices get one element, and pointers are set.
func fillInts(v reflect.Value, value int64) {
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			fillInts(v.Field(i), value)
		}
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillInts(v.Elem(), value)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() != reflect.Uint8:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillInts(v.Index(0), value)
	case v.Type() == reflect.TypeFor[int]():
		v.SetInt(value)
	default:
	}
}

// printInts prints the path and value of every field of type int.
func printInts(out *strings.Builder, v reflect.Value, path string) {
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			printInts(out, v.Field(i), path+"."+v.Type().Field(i).Name)
		}
	case v.Kind() == reflect.Pointer && !v.IsNil():
		printInts(out, v.Elem(), path)
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			printInts(out, v.Index(i), path)
		}
	case v.Type() == reflect.TypeFor[int]():
		fmt.Fprintf(out, "%s %d\n", strings.TrimPrefix(path, "."), v.Int())
	default:
	}
}
