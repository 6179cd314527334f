// Package jsonlist splits a JSON document that holds a list of entries by several
// writers, so that a malformed entry can't spoil the others.
package jsonlist

import (
	"bytes"
	"encoding/json"
)

const (
	// maxDepth bounds the nesting of an entry that is looked for after one whose end
	// is unknown.
	maxDepth = 16
	// maxUnclosed bounds the entries whose ends are looked for up to the end of the
	// document, and maxEnds the places that are tried as the end of the list. With
	// maxDepth they keep the time linear in the length of the document.
	maxUnclosed = 16
	maxEnds     = 16
)

// List is a document that was split.
type List struct {
	// Entries are the entries that are valid JSON, and Malformed the others. They are
	// slices of the document.
	Entries, Malformed [][]byte
	// Rest is the document with an empty list in place of the entries. It is valid JSON.
	Rest []byte
}

// Split splits the list that the JSON object document holds under the given key. Ok is
// false if there is none, if anything but its entries is malformed or if its end can't be
// known. Whole reports whether a document, which is valid JSON, lacks nothing beside the
// entries; a broken-off one may else seem to end within an entry.
//
// An entry ends at the next comma or at the end of the list outside strings and brackets,
// and is malformed if the text up to there is. If its strings and brackets don't close,
// it ends before the next object behind a comma that sound accepts, or at the first
// bracket that leaves a whole rest. So a malformed entry hides others only if it closes
// the list itself and goes on with text that makes the rest whole, or if sound doesn't
// accept them or they are nested deeper than maxDepth. An object within a malformed entry
// is taken for an entry only if that one doesn't close.
func Split(document []byte, key string, sound, whole func(text []byte) bool) (list List, ok bool) {
	begin, found := findList(document, key)
	if !found {
		return List{}, false
	}
	s := splitter{text: document, begin: begin, sound: sound, whole: whole}
	if !s.run() {
		return List{}, false
	}
	return s.list, true
}

// findList returns the offset after the bracket that opens the list under the key.
func findList(text []byte, key string) (int, bool) {
	at := skipSpace(text, 0)
	if at >= len(text) || text[at] != '{' {
		return 0, false
	}
	for at < len(text) && text[at] != '}' {
		at = skipSpace(text, at+1)
		if at >= len(text) || text[at] != '"' {
			return 0, false
		}
		nameEnd := stringEnd(text, at)
		colon := skipSpace(text, nameEnd)
		if colon >= len(text) || text[colon] != ':' {
			return 0, false
		}
		value := skipSpace(text, colon+1)
		var name string
		if json.Unmarshal(text[at:nameEnd], &name) == nil && name == key && value < len(text) && text[value] == '[' {
			return value + 1, true
		}
		if at = valueEnd(text, value, '}', len(text)); at < 0 {
			return 0, false
		}
	}
	return 0, false
}

// splitter splits one document.
type splitter struct {
	text []byte
	// begin is the offset after the bracket that opens the list.
	begin        int
	sound, whole func(text []byte) bool
	list         List
	// unclosed counts the entries whose ends are unknown, and ends the places
	// tried as the end of the list.
	unclosed, ends int
}

func (s *splitter) run() bool {
	at := skipSpace(s.text, s.begin)
	if at < len(s.text) && s.text[at] == ']' && s.endsAt(at) {
		return true
	}
	for {
		depth := len(s.text)
		if s.unclosed >= maxUnclosed {
			depth = maxDepth
		}
		end := valueEnd(s.text, at, ']', depth)
		if end < 0 || s.text[end] == ']' && !s.endsAt(end) || s.text[end] == ',' && s.closesList(at, end) {
			s.unclosed++
			next, ended, found := s.resume(at)
			if !found {
				return false
			}
			s.list.Malformed = append(s.list.Malformed, bytes.TrimSpace(s.text[at:next]))
			if ended {
				return true
			}
			at = next + 1
			continue
		}
		s.add(s.text[at:end])
		if s.text[end] == ']' {
			return true
		}
		at = end + 1
	}
}

// closesList reports whether the last bracket of an entry is the one that ends the list:
// the entry opens one bracket too many.
func (s *splitter) closesList(begin, end int) bool {
	entry := bytes.TrimSpace(s.text[begin:end])
	return len(entry) > 0 && entry[len(entry)-1] == ']' && s.endsAt(begin+bytes.LastIndexByte(s.text[begin:end], ']'))
}

func (s *splitter) add(entry []byte) {
	entry = bytes.TrimSpace(entry)
	if json.Valid(entry) {
		s.list.Entries = append(s.list.Entries, entry)
		return
	}
	s.list.Malformed = append(s.list.Malformed, entry)
}

// resume returns where the entry that begins at an offset ends though its strings or
// brackets don't close: the comma before the next sound entry or, if ended is true, the
// end of the list.
func (s *splitter) resume(from int) (end int, ended, found bool) {
	for at := from; at < len(s.text); at++ {
		switch s.text[at] {
		case ']':
			if s.endsAt(at) {
				return at, true, true
			}
		case ',':
			begin := skipSpace(s.text, at+1)
			if begin >= len(s.text) || s.text[begin] != '{' {
				continue
			}
			if end := valueEnd(s.text, begin, ']', maxDepth); end > 0 && s.sound(bytes.TrimSpace(s.text[begin:end])) {
				return at, false, true
			}
		}
	}
	return 0, false, false
}

// endsAt reports whether the document is whole, but for the entries, if the bracket at an
// offset ends the list.
func (s *splitter) endsAt(at int) bool {
	if !s.mayEndAt(at) || s.ends >= maxEnds {
		return false
	}
	s.ends++
	rest := make([]byte, 0, s.begin+len(s.text)-at)
	rest = append(append(rest, s.text[:s.begin]...), s.text[at:]...)
	if !json.Valid(rest) || !s.whole(rest) {
		return false
	}
	s.list.Rest = rest
	return true
}

// mayEndAt reports whether the bracket at an offset is followed by the end of an object or
// by another member.
func (s *splitter) mayEndAt(at int) bool {
	next := skipSpace(s.text, at+1)
	switch {
	case next >= len(s.text):
		return false
	case s.text[next] == '}':
		return skipSpace(s.text, next+1) == len(s.text)
	case s.text[next] != ',':
		return false
	}
	name := skipSpace(s.text, next+1)
	if name >= len(s.text) || s.text[name] != '"' {
		return false
	}
	colon := skipSpace(s.text, stringEnd(s.text, name))
	return colon < len(s.text) && s.text[colon] == ':'
}

// valueEnd returns the offset of the first comma or closing bracket of the given kind
// outside the strings and brackets that open from an offset on. It is negative if there
// is none, if brackets don't match or if they are nested deeper than depth.
func valueEnd(text []byte, at int, closing byte, depth int) int {
	var open []byte
	for at < len(text) {
		switch c := text[at]; c {
		case '"':
			at = stringEnd(text, at)
			continue
		case '{', '[':
			if len(open) == depth {
				return -1
			}
			open = append(open, c+2) // the closing bracket in ASCII
		case '}', ']':
			switch {
			case len(open) == 0 && c == closing:
				return at
			case len(open) == 0 || open[len(open)-1] != c:
				return -1
			}
			open = open[:len(open)-1]
		case ',':
			if len(open) == 0 {
				return at
			}
		}
		at++
	}
	return -1
}

// stringEnd returns the offset after the string that begins at an offset, or the length
// of the text if it has no end.
func stringEnd(text []byte, at int) int {
	for at++; at < len(text); at++ {
		switch text[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
	return len(text)
}

func skipSpace(text []byte, at int) int {
	for at < len(text) && (text[at] == ' ' || text[at] == '\t' || text[at] == '\n' || text[at] == '\r') {
		at++
	}
	return at
}
