package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// setFingerprint computes the request's fingerprint: a hash of the team, the host,
// the method, the path and the body. Requests with the same content have the same
// fingerprint at all gateways, whatever their ids are.
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
	r.fingerprint = max(1, binary.BigEndian.Uint64(h.Sum(sum[:0])))
}
