package brgossip

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brwire"
)

// TestOddRecordKeepsLinks guards against one record that no daemon can decode and that
// closes the links of each daemon that has it, again and again while it is flooded: the
// others then follow no record any more.
func TestOddRecordKeepsLinks(t *testing.T) {
	for _, test := range []struct {
		name   string
		record Record
	}{
		{"key of invalid UTF-8", Record{Key: "endpoint/\xff\xfe", Value: []byte("v"), Lifetime: time.Minute}},
		{"key without a kind", Record{Key: "endpoint", Value: []byte("v"), Lifetime: time.Minute}},
		{"empty key", Record{Value: []byte("v"), Lifetime: time.Minute}},
		{"long key", Record{Key: "endpoint/" + strings.Repeat("x", 1<<20), Lifetime: time.Minute}},
		{"large value", Record{Key: "endpoint/large", Value: make([]byte, brwire.MaxMessage), Lifetime: time.Minute}},
		{"negative age", Record{Key: "endpoint/young", Value: []byte("v"), Age: math.MinInt64, Lifetime: time.Minute}},
		{"negative lifetime", Record{Key: "endpoint/old", Value: []byte("v"), Lifetime: -1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := startNode(t, "a", func() []string { return nil })
			b := startNode(t, "b", func() []string { return []string{a.address} })
			await(t, "link", func() bool { return b.node.Conn(a.address) != nil && a.node.Conn(b.address) != nil })
			link := b.node.Conn(a.address)
			if a.node.Publish(test.record) {
				t.Error("the odd record was accepted, want it refused")
			}
			a.node.Publish(Record{Key: "endpoint/sound", Version: Version{Epoch: 1}, Value: []byte("v"), Lifetime: time.Minute})
			await(t, "sound record at the other daemon", func() bool { return b.value("endpoint/sound") == "v" })
			select {
			case <-link.Done():
				t.Error("the link was closed")
			default:
			}
			if _, ok := b.node.Get(test.record.Key); ok {
				t.Error("the other daemon has the odd record")
			}
		})
	}
}

// oddBatches are bodies of the message that carries records, each with a sound record
// besides, as a daemon of another release could send them.
func oddBatches(t testing.TB, sound Record) map[string]brwire.RawMessage {
	t.Helper()
	encode := func(v any) brwire.RawMessage {
		b, err := brwire.Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	with := func(odd any) brwire.RawMessage {
		return encode(map[string]any{"records": []any{odd, sound}})
	}
	nested := any("x")
	for range 25 { // within the limit of the frame around it
		nested = []any{nested}
	}
	record := func(field int, value any) map[int]any {
		r := map[int]any{1: "endpoint/odd", 2: []any{1, 1}, 3: []byte("v"), 5: int64(time.Minute)}
		r[field] = value
		return r
	}
	return map[string]brwire.RawMessage{
		"number as the record":    with(7),
		"null as the record":      with(nil),
		"nested":                  with(nested),
		"nested value":            with(record(3, nested)),
		"number as the key":       with(record(1, 5)),
		"key of invalid UTF-8":    with(record(1, "endpoint/\xff")),
		"negative version":        with(record(2, []any{-1, 1})),
		"fractional version":      with(record(2, []any{1.5, 1})),
		"version too large":       with(record(2, []any{1e300, 1})),
		"version of one number":   with(record(2, []any{1})),
		"text as the version":     with(record(2, "1")),
		"age too large":           with(record(4, uint64(math.MaxUint64))),
		"negative age":            with(record(4, int64(math.MinInt64))),
		"fractional lifetime":     with(record(5, 0.5)),
		"negative lifetime":       with(record(5, -5)),
		"lifetime not a number":   with(record(5, math.NaN())),
		"key without a kind":      with(record(1, "endpoint")),
		"long key":                with(record(1, "endpoint/"+strings.Repeat("x", 1<<16))),
		"kind of a later release": with(record(1, "unknown/odd")),
	}
}

// TestOddBatch guards against a message with one odd record that closes the link, is
// passed on, or takes the sound records of the same message with it.
func TestOddBatch(t *testing.T) {
	a := startNode(t, "a", func() []string { return nil })
	b := startNode(t, "b", func() []string { return []string{a.address} })
	await(t, "link", func() bool { return a.node.Conn(b.address) != nil })
	c, err := brpeer.Dial(context.Background(), a.address, nil, &brpeer.Mux{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	i := 0
	for name := range oddBatches(t, Record{}) {
		i++
		sound := Record{Key: fmt.Sprint("endpoint/sound", i), Version: Version{Epoch: 1, Seq: 1}, Value: []byte("v"), Lifetime: time.Minute}
		if err := brpeer.PushEncoded(c, pushRecord, oddBatches(t, sound)[name]); err != nil {
			t.Fatalf("%s: the link is closed: %v", name, err)
		}
		await(t, name+": sound record at the other daemon", func() bool { return b.value(sound.Key) == "v" })
	}
	select {
	case <-c.Done():
		t.Error("the link was closed")
	default:
	}
	for _, n := range []*testNode{a, b} {
		if r, ok := n.node.Get("endpoint/odd"); ok {
			t.Errorf("%s has the odd record %+v", n.address, r)
		}
	}
}

// TestLargeRecords guards against records that are allowed one by one and that, in one
// message, exceed its size and close the link each time they are sent.
func TestLargeRecords(t *testing.T) {
	a := startNode(t, "a", func() []string { return nil })
	values := map[string]string{}
	for i, size := range []int{maxValueBytes, maxValueBytes, 1, maxBatchBytes, maxBatchBytes - 100, 1} {
		key, value := fmt.Sprint("endpoint/", i), strings.Repeat("v", size)
		values[key] = value
		if !a.node.Publish(Record{Key: key, Version: Version{Epoch: 1}, Value: []byte(value), Lifetime: time.Minute}) {
			t.Fatalf("record with a value of %d bytes was refused", size)
		}
	}
	b := startNode(t, "b", func() []string { return []string{a.address} })
	for key, value := range values {
		await(t, key+" at the other daemon", func() bool { return b.value(key) == value })
	}
}
