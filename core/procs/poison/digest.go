package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"apricotproxy/core"
)

// Digest identifies what a request asks for: requests with the same method, host name, target,
// workspace and body have the same one, whatever their IDs. It is too long for callers to
// find another request with the same digest.
type Digest [16]byte

// DigestOf returns a request's digest. target is its path and query.
func DigestOf(method, hostName, target string, workspace core.WorkspaceName, body []byte) Digest {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(method), []byte(hostName), []byte(target), []byte(workspace), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	var d Digest
	copy(d[:], hash.Sum(nil))
	return d
}

// String returns the digest's first half, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:len(d)/2]) }
