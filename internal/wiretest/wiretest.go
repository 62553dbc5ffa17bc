// Package wiretest checks that routers of earlier versions and of this one understand each other's messages. A package keeps an
// example of each of its messages as earlier versions encode it, in testdata/wire, one file a version, a line a message: its name
// and its msgpack encoding in hexadecimal.
package wiretest

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sort"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// WriteVariable is the environment variable that makes Check write the examples of this version to a file of that name instead.
const WriteVariable = "WRITE_WIRE_EXAMPLES"

const directory = "testdata/wire"

// Check checks messages against all earlier versions. messages holds a pointer to a zero value of each type, by a name that does not
// change.
func Check(t *testing.T, messages map[string]any) {
	t.Helper()
	if version := os.Getenv(WriteVariable); version != "" {
		write(t, version, messages)
		return
	}
	files, err := filepath.Glob(filepath.Join(directory, "*.txt"))
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			for name, encoded := range read(t, file) {
				message, found := messages[name]
				must.True(t, found, must.Sprint("no message ", name))
				check(t, name, encoded, message)
			}
		})
	}
}

// check checks one message in both directions.
func check(t *testing.T, name string, earlier []byte, message any) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
	must.NoError(t, msgpack.Unmarshal(earlier, decoded), must.Sprint(name))
	kept, err := msgpack.Marshal(decoded)
	must.NoError(t, err)
	must.Eq(t, "", missing(name, generic(t, earlier), generic(t, kept), true))
	must.Eq(t, "", missing(name, generic(t, earlier), generic(t, example(t, message)), false))
}

// missing returns what an earlier version's encoding has and this one's has not: a field, or an array of the same length. Values are
// compared, too, or only their kinds.
func missing(path string, earlier, now any, compareValues bool) string {
	switch known := earlier.(type) {
	case map[any]any:
		fields, isMap := now.(map[any]any)
		if !isMap {
			return path + " is no map"
		}
		for name, value := range known {
			field, found := fields[name]
			if !found {
				return fmt.Sprint(path, ".", name, " is missing")
			}
			if problem := missing(fmt.Sprint(path, ".", name), value, field, compareValues); problem != "" {
				return problem
			}
		}
		return ""
	case []any:
		elements, isArray := now.([]any)
		if !isArray || len(elements) != len(known) {
			return path + " has another length"
		}
		for i := range known {
			if problem := missing(fmt.Sprint(path, ".", i), known[i], elements[i], compareValues); problem != "" {
				return problem
			}
		}
		return ""
	}
	switch {
	case compareValues && fmt.Sprint(earlier) != fmt.Sprint(now):
		return fmt.Sprintf("%s is %v instead of %v", path, now, earlier)
	case isNumber(earlier) != isNumber(now) || !isNumber(earlier) && reflect.TypeOf(earlier) != reflect.TypeOf(now):
		return fmt.Sprintf("%s is a %T instead of a %T", path, now, earlier)
	}
	return ""
}

// isNumber reports whether a decoded value is a number: msgpack encodes one in the shortest form.
func isNumber(value any) bool {
	return value != nil && slices.Contains([]reflect.Kind{
		reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64,
		reflect.Float32, reflect.Float64,
	}, reflect.TypeOf(value).Kind())
}

func generic(t *testing.T, encoded []byte) any {
	t.Helper()
	decoder := msgpack.NewDecoder(bytes.NewReader(encoded))
	decoder.SetMapDecoder(func(d *msgpack.Decoder) (any, error) { return d.DecodeUntypedMap() })
	value, err := decoder.DecodeInterface()
	must.NoError(t, err)
	return value
}

// example returns the encoding of a message with all of its fields set.
func example(t *testing.T, message any) []byte {
	t.Helper()
	filled := reflect.New(reflect.TypeOf(message).Elem())
	fill(filled.Elem(), "")
	encoded, err := msgpack.Marshal(filled.Interface())
	must.NoError(t, err)
	return encoded
}

// fill sets all exported fields of a value, each to another one that depends on its name.
func fill(value reflect.Value, path string) {
	hash := fnv.New32a()
	hash.Write([]byte(path))
	number := int64(hash.Sum32()%97) + 1
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() || field.Anonymous {
				fill(value.Field(i), path+"."+field.Name)
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), path)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), path)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), fmt.Sprint(path, i))
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, "key")
		fill(element, path)
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString(fmt.Sprint("text", number))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(number) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(number)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(number))
	}
}

func read(t *testing.T, file string) map[string][]byte {
	t.Helper()
	opened, err := os.Open(file)
	must.NoError(t, err)
	defer opened.Close()
	examples := map[string][]byte{}
	lines := bufio.NewScanner(opened)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		encoded, err := hex.DecodeString(text)
		must.NoError(t, err)
		examples[name] = encoded
	}
	must.NoError(t, lines.Err())
	return examples
}

func write(t *testing.T, version string, messages map[string]any) {
	t.Helper()
	var lines []string
	for name, message := range messages {
		lines = append(lines, name+" "+hex.EncodeToString(example(t, message)))
	}
	sort.Strings(lines)
	must.NoError(t, os.MkdirAll(directory, 0o755))
	must.NoError(t, os.WriteFile(filepath.Join(directory, version+".txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o644))
}
