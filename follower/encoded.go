package follower

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

// encodedChanges are the changes of a batch, encoded once for all peers that receive them:
// a host with a small share of a core takes longer to encode a large table than to send it.
type encodedChanges struct {
	once sync.Once
	// plain is the last entry of the CBOR map of a message, key and value.
	plain []byte
	// compressed ends a deflate stream with plain, nil if plain is small.
	compressed []byte
	err        error
}

func (e *encodedChanges) encode(changes []verbenastand.Change) {
	records := make([]changeRecord, 0, len(changes))
	for _, c := range changes {
		records = append(records, changeRecordOf(c))
	}
	entry, err := marshal(message{Changes: records})
	if err != nil {
		e.err = err
		return
	}
	// The entry of the changes follows the header of the map and that of the version.
	version, err := marshal(message{})
	if err != nil {
		e.err = err
		return
	}
	e.plain = entry[len(version):]
	if len(e.plain) >= compressThreshold {
		e.compressed, e.err = compress(e.plain)
	}
}

// smallMap is the first byte of a CBOR map with few entries, which adds the number of
// entries, at most maxSmallMap (RFC 8949, section 3).
const (
	smallMap    = 0xa0
	maxSmallMap = 23
)

var errNoSmallMap = errors.New("follower: the encoded message is no map with few entries")

// extendMap makes an encoded map one entry larger. The entry is to be appended.
func extendMap(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] < smallMap || data[0] >= smallMap+maxSmallMap {
		return nil, errNoSmallMap
	}
	data[0]++
	return data, nil
}

// maxStoredBlock is the largest number of bytes in a stored block.
const maxStoredBlock = 1<<16 - 1

// storedBlocks returns the beginning of a deflate stream that holds data uncompressed
// (RFC 1951, section 3.2.4).
func storedBlocks(data []byte) []byte {
	var blocks []byte
	for len(data) > 0 {
		n := min(len(data), maxStoredBlock)
		blocks = append(blocks, 0)
		blocks = binary.LittleEndian.AppendUint16(blocks, uint16(n))
		blocks = binary.LittleEndian.AppendUint16(blocks, ^uint16(n))
		blocks = append(blocks, data[:n]...)
		data = data[n:]
	}
	return blocks
}

func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("follower: compress message: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("follower: compress message: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("follower: compress message: %w", err)
	}
	return compressed.Bytes(), nil
}

// decompress decodes a compressed message, which may not contain another one.
func decompress(compressed []byte) (message, error) {
	var m message
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxMessageBytes+1))
	if err != nil {
		return m, fmt.Errorf("follower: decompress message: %w", err)
	}
	if len(data) > MaxMessageBytes {
		return m, fmt.Errorf("follower: message exceeds %d bytes", MaxMessageBytes)
	}
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("follower: decode message: %w", err)
	}
	if m.Compressed != nil {
		return m, errors.New("follower: message is compressed twice")
	}
	return m, m.check()
}
