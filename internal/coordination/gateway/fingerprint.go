package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// setFingerprint computes the request's fingerprints. The content is a hash of the team,
// the host, the method, the path and the body; the fingerprint also covers the parts of
// the prompt that other requests may share, if there are any. Requests that are the same
// have the same fingerprints at all gateways, whatever their ids are.
//
// The hash is cryptographic: a caller must not be able to send a request with the
// fingerprint of another one's.
func (r *Request) setFingerprint() {
	h := sha256.New()
	for _, part := range []string{string(r.Team), r.Host, r.Method, r.Path} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(r.Body)
	var sum [sha256.Size]byte
	r.content = max(1, binary.BigEndian.Uint64(h.Sum(sum[:0])))
	r.fingerprint = r.content
	if len(r.Parts) > 0 {
		h.Reset()
		_ = binary.Write(h, binary.BigEndian, append([]uint64{r.content}, r.Parts...))
		r.fingerprint = max(1, binary.BigEndian.Uint64(h.Sum(sum[:0])))
	}
}
