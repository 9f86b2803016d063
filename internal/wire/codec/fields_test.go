package codec_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

// TestStateHoldsEveryField checks that a snapshot preserves every field of the state, including fields added later.
func TestStateHoldsEveryField(t *testing.T) {
	is := is.New(t)
	var want state.State
	fillFields(reflect.ValueOf(&want).Elem(), new(int64))
	data, err := codec.Codec{}.EncodeState(&want)
	is.NoErr(err)
	got, err := codec.Codec{}.DecodeState(data)
	is.NoErr(err)
	is.Equal(got, want)
}

// TestCommandHoldsEveryField checks that a log entry preserves every field of each kind of change.
func TestCommandHoldsEveryField(t *testing.T) {
	is := is.New(t)
	kind := reflect.TypeFor[record.Command]()
	for i := range kind.NumField() {
		if kind.Field(i).Type.Kind() != reflect.Pointer {
			continue
		}
		want := record.Command{RequestID: "request", Time: time.Unix(5, 0).UTC()}
		fillFields(reflect.ValueOf(&want).Elem().Field(i), new(int64))
		data, err := codec.Codec{}.EncodeCommand(want)
		is.NoErr(err)
		got, err := codec.Codec{}.DecodeCommand(data)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

// TestCommandHoldsAllWaves checks that a log entry preserves the waves beyond the first, which have a field of their own.
func TestCommandHoldsAllWaves(t *testing.T) {
	is := is.New(t)
	want := record.Command{RequestID: "request", Time: time.Unix(5, 0).UTC(), Batch: &batch.Change{Waves: []batch.Wave{{ID: 1}, {ID: 2}, {ID: 3}}}}
	data, err := codec.Codec{}.EncodeCommand(want)
	is.NoErr(err)
	got, err := codec.Codec{}.DecodeCommand(data)
	is.NoErr(err)
	is.Equal(got, want)
}

// TestMessageHoldsEveryField checks that encoding preserves every field of messages between replicas and of results.
func TestMessageHoldsEveryField(t *testing.T) {
	is := is.New(t)
	var message quorum.Message
	fillFields(reflect.ValueOf(&message).Elem(), new(int64))
	is.Equal(codec.MessagesFromWire(codec.MessagesToWire([]quorum.Message{message})), []quorum.Message{message})
	var result record.Result
	fillFields(reflect.ValueOf(&result).Elem(), new(int64))
	is.Equal(codec.ResultFromWire(codec.ResultToWire(result)), result)
}

// TestCallHoldsEveryField checks that encoding preserves every field of calls on the leader and of their replies.
func TestCallHoldsEveryField(t *testing.T) {
	is := is.New(t)
	var call batch.Call
	fillFields(reflect.ValueOf(&call).Elem(), new(int64))
	is.Equal(codec.CallFromWire(codec.CallToWire(&call)), &call)
	var reply batch.Reply
	fillFields(reflect.ValueOf(&reply).Elem(), new(int64))
	is.Equal(codec.ReplyFromWire(codec.ReplyToWire(&reply)), reply)
}

// fillFields sets every field to a distinct value; slices and maps get one element.
func fillFields(v reflect.Value, next *int64) {
	*next++
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(*next, 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(v.Field(i), next)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFields(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillFields(v.Index(0), next)
	case reflect.Array:
		for i := range v.Len() {
			fillFields(v.Index(i), next)
		}
	case reflect.Map:
		fillMap(v, next)
	case reflect.String:
		v.SetString(string(rune('A'+*next%26)) + time.Unix(*next, 0).UTC().Format("150405"))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64, reflect.Int32:
		v.SetInt(*next)
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint8:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next))
	default:
		panic("fillFields: unsupported type " + v.Type().String())
	}
}

// fillMap adds one element; its key is the first field of the element if that is a string, since that is its name.
func fillMap(v reflect.Value, next *int64) {
	element := reflect.New(v.Type().Elem()).Elem()
	fillFields(element, next)
	key := reflect.New(v.Type().Key()).Elem()
	fillFields(key, next)
	if name := firstField(element); name.Kind() == reflect.String && key.Kind() == reflect.String {
		key.SetString(name.String())
	}
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, element)
}

// firstField returns the first field of an element; it follows pointers and descends into nested structs.
func firstField(v reflect.Value) reflect.Value {
	for {
		switch v.Kind() {
		case reflect.Pointer:
			v = v.Elem()
		case reflect.Struct:
			v = v.Field(0)
		default:
			return v
		}
	}
}
