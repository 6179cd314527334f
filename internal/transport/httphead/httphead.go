// Package httphead writes the heads of HTTP/1.1 requests. The texts in a head come from
// callers, operators, upstreams and other nodes; a head that can be read as anything but
// the request line and the fields that it was given is not written.
package httphead

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrUnwritable means that a text can't be written into a head, as it would end a line or is
// not allowed at its place (RFC 9112, sections 3 and 5).
var ErrUnwritable = errors.New("the text can't be written into the head of a request")

// Builder builds a head. Its zero value must not be used.
type Builder struct {
	head []byte
	err  error
}

// sizeHint is the usual size of a head, in bytes.
const sizeHint = 512

// New returns a Builder that has written the request line.
func New(method, target string) *Builder {
	b := &Builder{head: make([]byte, 0, sizeHint)}
	if !isToken(method) {
		b.fail("method", method)
	}
	if target == "" || strings.ContainsFunc(target, func(c rune) bool { return c == ' ' || isControl(c) }) {
		b.fail("target", target)
	}
	b.head = append(b.head, method...)
	b.head = append(b.head, ' ')
	b.head = append(b.head, target...)
	b.head = append(b.head, " HTTP/1.1\r\n"...)
	return b
}

// Field adds a header field.
func (b *Builder) Field(name, value string) {
	if err := CheckField(name, value); err != nil && b.err == nil {
		b.err = err
	}
	b.head = append(b.head, name...)
	b.head = append(b.head, ": "...)
	b.head = append(b.head, value...)
	b.head = append(b.head, "\r\n"...)
}

// Bytes returns the head with the blank line at its end. It fails with ErrUnwritable if any
// text can't be written.
func (b *Builder) Bytes() ([]byte, error) {
	if b.err != nil {
		return nil, b.err
	}
	return append(b.head, "\r\n"...), nil
}

func (b *Builder) fail(what, text string) {
	if b.err == nil {
		b.err = fmt.Errorf("%s %.64q: %w", what, text, ErrUnwritable)
	}
}

// CheckField fails with ErrUnwritable if a header field can't be written.
func CheckField(name, value string) error {
	if !isToken(name) {
		return fmt.Errorf("name of a field %.64q: %w", name, ErrUnwritable)
	}
	if strings.ContainsFunc(value, func(c rune) bool { return c != '\t' && isControl(c) }) {
		return fmt.Errorf("field %s %.64q: %w", name, value, ErrUnwritable)
	}
	return nil
}

// CheckHeader fails with ErrUnwritable if any field of a header can't be written.
func CheckHeader(h http.Header) error {
	for name, values := range h {
		for _, value := range values {
			if err := CheckField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// isControl reports whether a byte below 0x80 is a control character. Others are opaque
// (obs-text).
func isControl(c rune) bool { return c < ' ' || c == 0x7f }

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
			return false
		}
		return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	})
}
