package httphead

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// texts are those that would end a line of a head, or a part of one.
var texts = []string{"\n", "\r", "\r\n", "\x00", "\x7f", "\x1b", "i-1\nOther: 1", "i-1\r\n\r\nGET / HTTP/1.1\r\n\r\n", "\ni-1", "i\v1"}

// TestBuilder_TextEndsLine covers texts of others in heads: a line break in one cut the request
// short.
func TestBuilder_TextEndsLine(t *testing.T) {
	for _, text := range texts {
		for name, b := range map[string]*Builder{
			"method": New("GET"+text, "/"), "target": New("GET", "/"+text), "name": New("GET", "/"), "value": New("GET", "/"),
		} {
			switch name {
			case "name":
				b.Field("Name"+text, "v")
			case "value":
				b.Field("Name", text)
			}
			b.Field("Last", "sound")
			head, err := b.Bytes()
			must.ErrorIs(t, err, ErrUnwritable, must.Sprintf("%s with %q", name, text))
			must.Nil(t, head)
		}
		must.ErrorIs(t, CheckHeader(http.Header{"Name": {"sound", text}}), ErrUnwritable)
	}
	for _, b := range []*Builder{New("", "/"), New("GET", ""), New("GET", "/a b"), New("G T", "/")} {
		_, err := b.Bytes()
		must.ErrorIs(t, err, ErrUnwritable)
	}
}

// FuzzBuilder checks that a head is read as the request line and the fields that it was given.
func FuzzBuilder(f *testing.F) {
	f.Add("POST", "/a?b=c", "Name", "one\ttwo", "zwei\xff ü")
	for _, text := range texts {
		f.Add("GET", "/", "Name", text, "v")
		f.Add("GET", "/"+text, "Name", "v", text)
	}
	f.Fuzz(func(t *testing.T, method, target, name, first, second string) {
		b := New(method, target)
		b.Field("Host", "h")
		b.Field(name, first)
		b.Field(name, second)
		head, err := b.Bytes()
		if err != nil || strings.EqualFold(name, "Host") || strings.EqualFold(name, "Transfer-Encoding") || strings.EqualFold(name, "Content-Length") {
			return
		}
		lines := bytes.Split(head, []byte("\r\n"))
		must.Len(t, 6, lines, must.Sprintf("%q", head))
		must.Eq(t, 5, bytes.Count(head, []byte("\n")))
		must.Eq(t, 5, bytes.Count(head, []byte("\r")))
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			// net/http refuses some targets and methods that are written as they are.
			return
		}
		must.Eq(t, method, request.Method)
		must.Eq(t, target, request.RequestURI)
		if name != "Pragma" && http.CanonicalHeaderKey(name) != "Trailer" {
			want := []string{strings.Trim(first, " \t"), strings.Trim(second, " \t")}
			must.Eq(t, want, request.Header[http.CanonicalHeaderKey(name)])
		}
	})
}
