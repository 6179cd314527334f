package gateway

// answerPiece is the size of the pieces in which an answer is held and written, in bytes. The
// memory of each is free once the caller's connection has taken it.
const answerPiece = 32 << 10

// answerBuffer holds an answer until it is complete.
type answerBuffer struct {
	pieces [][]byte
	size   int
}

// add appends a part of the answer.
func (b *answerBuffer) add(part []byte) {
	b.size += len(part)
	for len(part) > 0 {
		last := len(b.pieces) - 1
		if last < 0 || len(b.pieces[last]) == answerPiece {
			var piece []byte
			if last >= 0 {
				piece = make([]byte, 0, answerPiece)
			}
			b.pieces, last = append(b.pieces, piece), last+1
		}
		n := min(len(part), answerPiece-len(b.pieces[last]))
		b.pieces[last] = append(b.pieces[last], part[:n]...)
		part = part[n:]
	}
}

// clear drops the answer.
func (b *answerBuffer) clear() { *b = answerBuffer{} }
