package jsonlist

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// isSound accepts objects that have an id.
func isSound(entry []byte) bool {
	var e struct{ ID string }
	return json.Unmarshal(entry, &e) == nil && e.ID != ""
}

// isWhole accepts documents that name the next page.
func isWhole(rest []byte) bool {
	var members map[string]json.RawMessage
	return json.Unmarshal(rest, &members) == nil && members["next"] != nil
}

func entry(id int) string {
	return fmt.Sprintf(`{"id":"i-%d","address":"10.0.0.%d:80","models":[{"name":"m","adapters":[]}],"slots":5}`, id, id)
}

// ids returns the ids of the entries that isSound accepts.
func ids(list List) []string {
	var ids []string
	for _, raw := range list.Entries {
		var e struct{ ID string }
		if json.Unmarshal(raw, &e) == nil && e.ID != "" {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// malformed holds entries that encoding/json refuses.
var malformed = map[string]string{
	"deep array":           strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"deep object":          strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
	"deep, unclosed":       strings.Repeat("[", 20_000),
	"deep object unclosed": strings.Repeat(`{"a":`, 20_000),
	"two commas":           `{"id":"x",,}`,
	"not text":             "\xff\xfe\x00\x01\x80",
	"not text in object":   "{\"id\":\"\xff\x00\x1f\"}",
	"control bytes":        "{\"id\":\"a\nb\"}",
	"no end of string":     `{"id":"x}`,
	"no end of object":     `{"id":"x"`,
	"no end of list":       `{"id":"x","models":[1`,
	"a bracket too many":   `{"id":"x"}}`,
	"ends the list":        `]`,
	"ends the document":    `],"next":null}`,
	"wrong bracket":        `{"id":"x"]`,
	"nothing":              ``,
	"a quote":              `"`,
	"a quote in an object": `{"`,
	"escape at the end":    `{"id":"x\`,
	"words":                `no entry at all`,
	"one bracket":          `[`,
	"no end of array":      `[1`,
	"two values":           `{} {}`,
	"large number":         `{"id":"x","slots":1e}`,
}

// TestSplit_MalformedEntryBesideSound checks that entries hold wherever a malformed one
// stands, and whether the next page is named before or behind the list.
func TestSplit_MalformedEntryBesideSound(t *testing.T) {
	for name, bad := range malformed {
		for place := range 3 {
			parts := []string{entry(1), entry(2)}
			parts = append(parts[:place:place], append([]string{bad}, parts[place:]...)...)
			text := "[" + strings.Join(parts, ", ") + "]"
			for _, document := range []string{
				`{"instances":` + text + `,"next":"p-2"}`, `{"next":"p-2", "x":[{"id":"i-9"}],"instances" : ` + text + "\n}",
			} {
				must.False(t, json.Valid([]byte(document)))
				list, ok := Split([]byte(document), "instances", isSound, isWhole)
				must.True(t, ok, must.Sprintf("%s at %d", name, place))
				must.Eq(t, []string{"i-1", "i-2"}, ids(list), must.Sprintf("%s at %d", name, place))
				must.Len(t, 1, list.Malformed, must.Sprintf("%s at %d", name, place))
				var rest struct {
					Instances []json.RawMessage
					Next      string
				}
				must.NoError(t, json.Unmarshal(list.Rest, &rest))
				must.Eq(t, "p-2", rest.Next)
				must.SliceEmpty(t, rest.Instances)
			}
		}
	}
}

// TestSplit_ObjectWithinMalformedEntry checks that an object within a malformed entry that
// closes is no entry.
func TestSplit_ObjectWithinMalformedEntry(t *testing.T) {
	list, ok := Split([]byte(`{"instances":[{"was":[1,`+entry(1)+`],,},`+entry(2)+`],"next":null}`), "instances", isSound, isWhole)
	must.True(t, ok)
	must.Eq(t, []string{"i-2"}, ids(list))
	must.Len(t, 1, list.Malformed)
}

// TestSplit_NoEnd checks that a document is refused if anything but its entries is
// malformed or missing.
func TestSplit_NoEnd(t *testing.T) {
	for _, document := range []string{
		``, `[`, `null`, `{`, `{}`, `{"instances":null}`, `{"instances":[`, `{"instances":[` + entry(1), `{"instances":[` + entry(1) + `]`,
		`{"instances":[` + entry(1) + `],"next":}`, `{"instances":[` + entry(1) + `]} x`, `{"next":,"instances":[` + entry(1) + `]}`,
		`{"instances":[` + entry(1) + `]}`, `{"next":"p","instances"`, `{"next":"p`, `{"a":[{]},"instances":[]}`,
	} {
		_, ok := Split([]byte(document), "instances", isSound, isWhole)
		must.False(t, ok, must.Sprint(document))
	}
}

// TestSplit_LinearTime checks that documents of many malformed entries are split in time
// that grows with their length, not with its square.
func TestSplit_LinearTime(t *testing.T) {
	const size = 1 << 20
	for name, unit := range map[string]string{
		"unclosed strings": `{"a,` + entry(1) + `,`, "unclosed objects": `{"a":1,` + entry(1) + `,`, "commas and brackets": `,{`, "ends": `],"a":[1`, "brackets": `[`,
		"quotes": `"`, "ends of documents": `]}`, "objects": `{},`, "nested": `,{"a":[1`, "entries that end the list": entry(1) + `],`,
	} {
		document := []byte(`{"instances":[` + strings.Repeat(unit, size/len(unit)) + `],"next":null}`)
		began := time.Now()
		Split(document, "instances", isSound, isWhole)
		// A pass over this much takes some ms; a square one takes many minutes.
		must.Less(t, 20*time.Second, time.Since(began), must.Sprint(name))
		t.Log(name, time.Since(began))
	}
}

// FuzzSplit checks that a malformed entry leaves the sound ones around it and the next
// page, whatever it is, and that a valid document is split as encoding/json does it.
func FuzzSplit(f *testing.F) {
	for _, bad := range malformed {
		f.Add([]byte(bad[:min(len(bad), 100)]))
	}
	f.Add([]byte(`{"id":"x","models":[{"a":"]"},{"b":[]}]`))
	f.Fuzz(func(t *testing.T, bad []byte) {
		document := []byte(`{"instances":[` + entry(1) + "," + string(bad) + "," + entry(2) + `],"next":"p-2"}`)
		list, ok := Split(document, "instances", isSound, isWhole)
		var page struct {
			Instances []json.RawMessage
			Next      *string
		}
		if json.Valid(document) {
			if json.Unmarshal(document, &page) != nil {
				return
			}
			must.True(t, ok)
			must.Len(t, len(page.Instances), list.Entries)
			for i, want := range page.Instances {
				must.Eq(t, string(want), string(list.Entries[i]))
			}
			return
		}
		if closesList(bad) {
			return
		}
		must.True(t, ok)
		found := ids(list)
		must.Eq(t, "i-1", found[0])
		must.Eq(t, "i-2", found[len(found)-1])
		must.NoError(t, json.Unmarshal(list.Rest, &page))
		must.Eq(t, "p-2", *page.Next)
	})
}

// closesList reports whether a malformed entry may close the list and go on as a valid
// document, which Split can't tell from the end of the list.
func closesList(bad []byte) bool {
	for i, c := range bad {
		if c == ']' && json.Valid([]byte(`{"instances":[`+string(bad[i:])+","+entry(2)+`],"next":"p-2"}`)) {
			return true
		}
	}
	return false
}
