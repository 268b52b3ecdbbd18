package box

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// decodeMode and Encoding are how messages are read and written. Times are written with
// their fractions: whole seconds, the library's default, would move every deadline, age
// and load by up to one.
var (
	decodeMode = newDecodeMode()
	// Encoding writes messages.
	Encoding = newEncoding()
)

// The bounds of a message that is read.
const (
	maxElements = 1 << 20
	maxLevels   = 16
	maxPairs    = 1 << 16
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
