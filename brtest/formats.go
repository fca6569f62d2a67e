package brtest

import (
	"cmp"
	"encoding/hex"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleyroute/brwire"

	"github.com/fxamacker/cbor/v2"
	gocmp "github.com/google/go-cmp/cmp"
)

// formatsDir is the directory of the golden files of CheckFormats, one per build, with a
// line "name hex" for each format, and in that of the present code its text form below.
const formatsDir = "testdata/formats"

// presentBuild is the name of the golden file of the present code.
const presentBuild = "present"

var writeFormats = flag.String("formats", "", "write the golden file of formats of this `build`; the present code is \"present\"")

// Format is a value whose encoding crosses builds, with the code that reads and writes it.
type Format struct {
	name     string
	encode   func() ([]byte, error)
	reencode func([]byte) ([]byte, error) // decodes and encodes again
	raw      bool                         // not CBOR
	unread   []string                     // builds
}

// NotShared returns f with builds that can't exchange it with the present code.
// CheckFormats fails if they can. Such builds mustn't run side by side.
func (f Format) NotShared(builds ...string) Format {
	f.unread = builds
	return f
}

// Message returns the format of a T, encoded by brwire, with a value in each field.
func Message[T any](name string) Format {
	var v T
	fill(reflect.ValueOf(&v).Elem(), name)
	return Value(name, v)
}

// Value returns the format of v, encoded by brwire.
func Value[T any](name string, v T) Format {
	return Format{
		name:   name,
		encode: func() ([]byte, error) { return brwire.Encode(v) },
		reencode: func(b []byte) ([]byte, error) {
			d, err := brwire.Decode[T](b)
			if err != nil {
				return nil, err
			}
			return brwire.Encode(d)
		},
	}
}

// Raw returns a format with an encoding of its own. decode returns what it has read from
// the bytes, which is compared with want.
func Raw[T any](name string, want T, encode func() ([]byte, error), decode func([]byte) (T, error)) Format {
	return Format{name: name, raw: true, encode: encode, reencode: func(b []byte) ([]byte, error) {
		got, err := decode(b)
		if err != nil {
			return nil, err
		}
		if diff := gocmp.Diff(want, got, gocmp.Exporter(func(reflect.Type) bool { return true })); diff != "" {
			return nil, fmt.Errorf("decoded value (-want +got):\n%s", diff)
		}
		return b, nil
	}}
}

// CheckFormats compares formats with the golden files of all builds. The present code must
// read what each build has written without a loss, and write at least the same with the
// same values: fields may be added to maps, since earlier builds ignore them, but not
// removed, renamed or changed, and nothing may be added to arrays. What the present code
// writes must be that of its own golden file, so that each change shows in a review.
func CheckFormats(t *testing.T, formats ...Format) {
	t.Helper()
	present := map[string][]byte{}
	var file string
	for _, f := range formats {
		b, err := f.encode()
		if err != nil {
			t.Fatalf("encode %s: %v", f.name, err)
		}
		if _, ok := present[f.name]; ok {
			t.Fatalf("two formats have the name %s", f.name)
		}
		present[f.name] = b
		file += fmt.Sprintf("%s %x\n", f.name, b)
		if *writeFormats == "" || *writeFormats == presentBuild {
			file += "\t" + f.text(b) + "\n"
		}
	}
	if *writeFormats != "" {
		if err := os.MkdirAll(formatsDir, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenPath(*writeFormats), []byte(file), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if golden, err := os.ReadFile(goldenPath(presentBuild)); err != nil {
		t.Error(err)
	} else if diff := gocmp.Diff(string(golden), file); diff != "" {
		t.Errorf("the bytes that this build writes have changed (-golden +present); see docs/UPGRADE.md, and -formats=%s:\n%s", presentBuild, diff)
	}
	paths, err := filepath.Glob(goldenPath("*"))
	if err != nil || len(paths) < 2 {
		t.Fatalf("golden files of earlier builds are missing: found %v, error %v", paths, err)
	}
	for _, path := range paths {
		checkBuild(t, path, formats, present)
	}
}

func goldenPath(build string) string { return filepath.Join(formatsDir, build+".txt") }

// checkBuild compares formats with the golden file of one build.
func checkBuild(t *testing.T, path string, formats []Format, present map[string][]byte) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	earlier := map[string][]byte{}
	for line := range strings.Lines(string(content)) {
		name, digits, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if !ok || strings.HasPrefix(line, "\t") {
			continue
		}
		if earlier[name], err = hex.DecodeString(digits); err != nil {
			t.Fatalf("%s: %s: %v", path, name, err)
		}
	}
	for _, f := range formats {
		b, ok := earlier[f.name]
		if !ok {
			continue // the build doesn't have it
		}
		delete(earlier, f.name)
		if slices.Contains(f.unread, strings.TrimSuffix(filepath.Base(path), ".txt")) {
			if f.diff(b, present[f.name]) == "" {
				t.Errorf("%s: that build reads %s of the present code, and shouldn't", path, f.name)
			}
			continue
		}
		if reencoded, err := f.reencode(b); err != nil {
			t.Errorf("%s: present code can't read %s: %v", path, f.name, err)
		} else if diff := f.diff(b, reencoded); diff != "" {
			t.Errorf("%s: present code loses a part of %s (-written +read):\n%s", path, f.name, diff)
		}
		if diff := f.diff(b, present[f.name]); diff != "" {
			t.Errorf("%s: that build misreads what the present code writes as %s (-then +now):\n%s", path, f.name, diff)
		}
	}
	for name := range earlier {
		t.Errorf("%s: %s is no format of the present code anymore", path, name)
	}
}

// text returns the text form of the encoding b.
func (f Format) text(b []byte) string {
	if f.raw {
		return fmt.Sprintf("%q", b)
	}
	s, err := cbor.Diagnose(b)
	if err != nil {
		return err.Error()
	}
	return s
}

// diff compares earlier with what an earlier build reads of later.
func (f Format) diff(earlier, later []byte) string {
	if f.raw {
		return gocmp.Diff(earlier, later)
	}
	a, err := brwire.Decode[any](earlier)
	if err != nil {
		return err.Error()
	}
	b, err := brwire.Decode[any](later)
	if err != nil {
		return err.Error()
	}
	return gocmp.Diff(a, project(b, a))
}

// project returns v without the keys of its maps that the maps at the same place in shape
// don't have.
func project(v, shape any) any {
	switch s := shape.(type) {
	case map[any]any:
		if m, ok := v.(map[any]any); ok {
			projected := map[any]any{}
			for k := range s {
				if x, ok := m[k]; ok {
					projected[k] = project(x, s[k])
				}
			}
			return projected
		}
	case []any:
		if a, ok := v.([]any); ok && len(a) == len(s) {
			projected := make([]any, len(a))
			for i := range a {
				projected[i] = project(a[i], s[i])
			}
			return projected
		}
	}
	return v
}

// fill sets v and everything in it to values other than zero, which depend on the names
// of the encoded fields only. Interfaces stay nil.
func fill(v reflect.Value, name string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash returns no error
	number := int(h.Sum32()%22) + 1
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.Unix(int64(number), 0).UTC()))
		return
	case v.Type() == reflect.TypeFor[brwire.RawMessage]():
		v.SetBytes([]byte{byte(number)}) // the encoding of number
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(number))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number) + 0.5)
	case reflect.String:
		v.SetString(name)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), name)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), name)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), name)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, name)
		fill(value, name)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		fillFields(v)
	}
}

// fillFields fills the fields of a struct that are encoded.
func fillFields(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(cmp.Or(field.Tag.Get("cbor"), field.Tag.Get("json")), ",")
		if field.IsExported() && name != "-" {
			if name == "" {
				name = field.Name
			}
			fill(v.Field(i), name)
		}
	}
}
