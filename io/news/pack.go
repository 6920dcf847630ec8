package news

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"apricotproxy/core"
)

const (
	// _minPackedBytes is the length from which a document's value is compressed.
	_minPackedBytes = 4 << 10
	// _maxPackedValues bounds the compressed values that are kept. Only configurations are
	// long, and there are few.
	_maxPackedValues = 4
)

// packedDocument is a document as it is sent. Configurations are text of few words, which
// shrinks to a fraction, and links are narrow.
type packedDocument struct {
	core.Document
	// Packed holds the compressed value, in place of Value, if it is long.
	Packed []byte
}

// packer compresses documents. It keeps what it compressed, since many hosts request the
// same document. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	packed map[string]packedDocument
}

func newPacker() *packer { return &packer{packed: make(map[string]packedDocument)} }

// pack returns a document as it is sent.
func (p *packer) pack(d core.Document) (packedDocument, error) {
	if len(d.Value) < _minPackedBytes {
		return packedDocument{Document: d}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.packed[d.Name]; ok && known.Compare(d) == 0 {
		return known, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return packedDocument{}, fmt.Errorf("compress document %s: %w", d.Name, err)
	}
	if _, err := w.Write(d.Value); err != nil {
		return packedDocument{}, fmt.Errorf("compress document %s: %w", d.Name, err)
	}
	if err := w.Close(); err != nil {
		return packedDocument{}, fmt.Errorf("compress document %s: %w", d.Name, err)
	}
	d.Value = nil
	if len(p.packed) >= _maxPackedValues {
		clear(p.packed)
	}
	p.packed[d.Name] = packedDocument{Document: d, Packed: b.Bytes()}
	return p.packed[d.Name], nil
}

// unpack returns the document as it was before it was sent.
func (d packedDocument) unpack() (core.Document, error) {
	if len(d.Packed) == 0 {
		return d.Document, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.Packed)), _maxDocumentsBytes))
	if err != nil {
		return core.Document{}, fmt.Errorf("decompress document %s: %w", d.Name, err)
	}
	d.Value = value
	return d.Document, nil
}
