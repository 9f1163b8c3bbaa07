package header

import (
	stdjson "encoding/json"
	"math"
	"net/http"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fill sets all fields of a value to random values.
func fill(t *rapid.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(rapid.OneOf(rapid.String(), rapid.StringMatching(`[a-z<>&"\\\x00-\x1f]*`)).Draw(t, "string"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "bool"))
	case reflect.Int, reflect.Int64:
		v.SetInt(rapid.Int64().Draw(t, "int"))
	case reflect.Uint8:
		v.SetUint(uint64(rapid.Uint8().Draw(t, "uint8")))
	case reflect.Uint64:
		v.SetUint(rapid.Uint64().Draw(t, "uint64"))
	case reflect.Float64:
		v.SetFloat(rapid.Float64Range(-math.MaxFloat64, math.MaxFloat64).Draw(t, "float"))
	case reflect.Pointer:
		if rapid.Bool().Draw(t, "present") {
			v.Set(reflect.New(v.Type().Elem()))
			fill(t, v.Elem())
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), rapid.IntRange(0, 3).Draw(t, "length"), 3))
		for i := range v.Len() {
			fill(t, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	default:
		t.Fatalf("a field of kind %s is not covered", v.Kind())
	}
}

func standardText(t *rapid.T, v any) string {
	data, err := stdjson.Marshal(v)
	assert.NilError(t, err)
	return string(data)
}

// Daemons of earlier releases encode and decode the headers with the standard library, so
// any difference from it would split the fleet while it is upgraded.
func TestHeadersAreThoseOfTheStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := http.Header{}
		var call, gotCall Call
		fill(t, reflect.ValueOf(&call).Elem())
		call.Service = "shop"
		SetCall(h, call)
		assert.Equal(t, h.Get(callHeader), standardText(t, call))
		gotCall, err := GetCall(h)
		assert.NilError(t, err)
		assert.Equal(t, standardText(t, gotCall), standardText(t, call))
		var result Result
		fill(t, reflect.ValueOf(&result).Elem())
		SetResult(h, result)
		assert.Equal(t, h.Get(resultHeader), standardText(t, result))
		gotResult, ok := GetResult(h)
		assert.Assert(t, ok)
		assert.Equal(t, standardText(t, gotResult), standardText(t, result))
	})
}

// mustDecodeAlike checks that a text is decoded or refused as the standard library does.
func mustDecodeAlike(t assert.TestingT, text string) {
	var want, got Call
	err := stdjson.Unmarshal([]byte(text), &want)
	ok := decode(text, &got)
	assert.Equal(t, ok, err == nil, "%q: %v", text, err)
	if ok {
		assert.DeepEqual(t, got, want)
	}
}

// An unreadable header must be refused, not guessed, and a readable one not be refused.
func TestUnusualHeadersAreDecodedLikeTheStandardLibrary(t *testing.T) {
	for _, text := range []string{
		"", " ", "{}", " {} ", "\t{}\r\n", "{}x", "{} {}", "null", "[]", "1", `"x"`, "{", `{"service"}`, `{"service":}`, `{"service":"shop",}`,
		`{"service":"shop"`, `{"SERVICE":"shop"}`, `{"service":"a","service":"b"}`, `{"service":null}`, `{"service":1}`, `{"rank":256}`,
		`{"rank":-1}`, `{"rank":1.0}`, `{"rank":1e2}`, `{"rank":"1"}`, `{"depth":99999999999999999999}`, `{"depth":1.5}`, `{"depth":01}`,
		`{"share":1e400}`, `{"share":NaN}`, `{"share":"1"}`, `{"share":.5}`, `{"share":-0}`, `{"share":1.}`, `{"inner":"true"}`, `{"inner":1}`,
		`{"inner":tru}`, `{"notice":null}`, `{"notice":{}}`, `{"notice":[]}`, `{"notice":1}`, `{"unknown":{"a":[1,{"b":null}]},"service":"shop"}`,
		`{"unknown":{"a":[1,{"b":nul}]},"service":"shop"}`, `{"service":"\u0041\ud83d\ude00"}`, `{"service":"\ud800"}`, `{"service":"\x"}`,
		`{"service":"\u12"}`, "{\"service\":\"a\tb\"}", "{\"service\":\"\xff\"}", "{\"service\":\"\xff\"", "{\"service\":\"\u00e9\u2028\"}", `{'service':'x'}`,
	} {
		t.Run(text, func(t *testing.T) { mustDecodeAlike(t, text) })
	}
	t.Run("texts with an error", rapid.MakeCheck(func(t *rapid.T) {
		var call Call
		fill(t, reflect.ValueOf(&call).Elem())
		text := []byte(standardText(t, call))
		for range rapid.IntRange(1, 3).Draw(t, "errors") {
			at := rapid.IntRange(0, max(0, len(text)-1)).Draw(t, "at")
			if len(text) == 0 {
				break
			}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				text[at] = rapid.Byte().Draw(t, "byte")
			case 1:
				text = append(text[:at:at], text[at+1:]...)
			case 2:
				text = text[:at]
			}
		}
		mustDecodeAlike(t, string(text))
	}))
}
