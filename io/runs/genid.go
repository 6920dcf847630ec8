package runs

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"apricotproxy/core"
)

const (
	_nonceBytes = 16
	_checkBytes = 9
	// _maxIDBytes is the length of the longest id that is parsed.
	_maxIDBytes = 512
	_idParts    = 5
	_idBase     = 36
)

// Origin is the content of a generation's id: the endpoint that runs the
// generation and the entry host that started it.
//
// The id has the form <endpoint>~<host>~<incarnation>~<nonce>~<check>. The nonce
// cannot be guessed. The check is a digest of the workspace and the other parts,
// so a workspace cannot use an id of another workspace. If it replaces the check by
// the one for itself, the id names a generation that no engine holds.
type Origin struct {
	Endpoint core.EndpointName
	Host     core.HostID
	nonce    string
}

// newOrigin returns an Origin with a new random nonce.
func newOrigin(random io.Reader, endpoint core.EndpointName, host core.HostID) (Origin, error) {
	var nonce [_nonceBytes]byte
	if _, err := io.ReadFull(random, nonce[:]); err != nil {
		return Origin{}, fmt.Errorf("generate a generation's nonce: %w", err)
	}
	return Origin{
		Endpoint: endpoint,
		Host:     host,
		nonce:    base64.RawURLEncoding.EncodeToString(nonce[:]),
	}, nil
}

// id returns the generation's id for its workspace.
func (o Origin) id(workspace core.WorkspaceName) core.GenerationID {
	head := strings.Join([]string{
		escapeName(string(o.Endpoint)),
		escapeName(string(o.Host.Host)),
		strconv.FormatUint(uint64(o.Host.Incarnation), _idBase),
		o.nonce,
	}, "~")
	sum := sha256.Sum256([]byte(string(workspace) + "\x00" + head))
	return core.GenerationID(head + "~" + base64.RawURLEncoding.EncodeToString(sum[:_checkBytes]))
}

// escapeName escapes the separator and the characters that are special in a URL
// path.
func escapeName(name string) string {
	return strings.ReplaceAll(url.QueryEscape(name), "~", "%7E")
}

// ParseGeneration parses a generation's id and checks that it belongs to the
// workspace.
func ParseGeneration(id core.GenerationID, workspace core.WorkspaceName) (Origin, error) {
	if len(id) > _maxIDBytes {
		return Origin{}, fmt.Errorf("the generation's id is longer than %d bytes", _maxIDBytes)
	}
	parts := strings.Split(string(id), "~")
	if len(parts) != _idParts {
		return Origin{}, fmt.Errorf("the generation's id has %d parts; expected %d", len(parts), _idParts)
	}
	endpoint, err := url.QueryUnescape(parts[0])
	if err != nil {
		return Origin{}, fmt.Errorf("the generation's endpoint: %w", err)
	}
	host, err := url.QueryUnescape(parts[1])
	if err != nil {
		return Origin{}, fmt.Errorf("the generation's host: %w", err)
	}
	incarnation, err := strconv.ParseUint(parts[2], _idBase, 64)
	if err != nil {
		return Origin{}, fmt.Errorf("the generation's incarnation: %w", err)
	}
	o := Origin{
		Endpoint: core.EndpointName(endpoint),
		Host:     core.HostID{Host: core.HostName(host), Incarnation: core.Incarnation(incarnation)},
		nonce:    parts[3],
	}
	if o.id(workspace) != id {
		return Origin{}, errors.New("the generation's id is not one of this workspace")
	}
	return o, nil
}

// ParseEventID splits the id of an event, <generation>.<index>, which callers
// send back in Last-Event-ID.
func ParseEventID(id string) (core.GenerationID, int, error) {
	dot := strings.LastIndexByte(id, '.')
	if dot <= 0 {
		return "", 0, fmt.Errorf("%q is not of the form <generation>.<index>", truncate(id))
	}
	digits := id[dot+1:]
	index, err := strconv.ParseUint(digits, 10, 31)
	if err != nil || strconv.FormatUint(index, 10) != digits {
		return "", 0, fmt.Errorf("the index of %q is not a whole number", truncate(id))
	}
	return core.GenerationID(id[:dot]), int(index), nil
}

// truncate shortens text from a caller or an engine for use in a message.
func truncate(text string) string {
	const longest = 64
	if len(text) <= longest {
		return text
	}
	return text[:longest] + "..."
}
