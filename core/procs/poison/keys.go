package poison

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
)

const (
	// _maxIDBytes is the longest ID that hosts tell each other as it is.
	_maxIDBytes = 32
	// _maxPartsBytes bounds the keys of one prompt: about the longest head of a request.
	_maxPartsBytes = 16 << 10
	// _digestBytes is the length of the digest that stands for a longer ID, _digestMark begins its text. It is too long
	// for callers to find an ID with the digest of another one.
	_digestBytes = 12
	_digestMark  = "#"
)

// Keys returns what identifies parts of a prompt to a Detector and a CrashDetector, from their IDs: sorted, without
// repetitions, each at most 32 bytes long. A longer ID is replaced by a digest. left is the number of parts that are not among
// the keys, the last ones of a prompt whose keys have more than 16 KiB in all.
func Keys(ids []string) (keys []string, left int) {
	bytes := 0
	for i, id := range ids {
		key := keyOf(id)
		if bytes += len(key); bytes > _maxPartsBytes {
			left = len(ids) - i
			break
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return slices.Compact(keys), left
}

func keyOf(id string) string {
	if len(id) <= _maxIDBytes {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	return _digestMark + base64.RawURLEncoding.EncodeToString(digest[:_digestBytes])
}

// knownKeys returns the keys of parts that another host or a caller of this package named.
func knownKeys(parts []string) []string {
	keys, _ := Keys(parts)
	return keys
}

// bytesOf returns about how much memory a list of keys takes.
func bytesOf(keys []string) int {
	const header = 16
	bytes := 0
	for _, key := range keys {
		bytes += header + len(key)
	}
	return bytes
}

// union returns the keys that are in either list, sorted.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// _maxCompared is the largest product of two lists' lengths up to which they are compared without an index.
const _maxCompared = 1024

// containsAll reports whether parts contain all wanted ones.
func containsAll(parts, wanted []string) bool {
	if len(parts)*len(wanted) <= _maxCompared {
		return !slices.ContainsFunc(wanted, func(part string) bool { return !slices.Contains(parts, part) })
	}
	if len(wanted) > len(parts) {
		return false
	}
	index := make(map[string]bool, len(parts))
	for _, part := range parts {
		index[part] = true
	}
	return !slices.ContainsFunc(wanted, func(part string) bool { return !index[part] })
}
