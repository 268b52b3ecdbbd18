package box

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Modes for decoding and encoding messages. Times are encoded with microseconds. The library's
// default, whole seconds, would shift every deadline, age and load by up to a second.
var (
	decodeMode = newDecodeMode()
	// Encoding encodes messages.
	Encoding = newEncoding()
)

// Limits on decoded messages.
const (
	maxElements = 1 << 20 // of one array
	maxLevels   = 16      // of nesting
	maxPairs    = 1 << 16 // of one map
)

func newDecodeMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxPairs, MaxNestedLevels: maxLevels}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("box: %v", err))
	}
	return m
}

func newEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("box: %v", err))
	}
	return m
}
