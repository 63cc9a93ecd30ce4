package fpconn

import (
	"hash/maphash"
	"slices"
)

const (
	// maxRefusedKeys bounds the refused calls that a connection remembers; it is closed after the last.
	maxRefusedKeys = 64
)

var refusedKeySeed = maphash.MakeSeed()

// MarkRefused records that the upstream did not run the call. A call with the same key takes another
// connection from now on: on this one, its refusal might be this one once more.
func (r *Response) MarkRefused() {
	if r.key != "" {
		r.conn.refusedKeys = append(r.conn.refusedKeys, maphash.String(refusedKeySeed, r.key))
	}
}

// hasRefused reports whether a call with the key was refused on the connection.
func (c *conn) hasRefused(key string) bool {
	return key != "" && slices.Contains(c.refusedKeys, maphash.String(refusedKeySeed, key))
}
