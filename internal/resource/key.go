package resource

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashKey returns the hex SHA-256 hash by which workspaces declare a bearer key.
func HashKey(bearer string) string {
	h := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(h[:])
}

// sameKey compares in constant time, so that response times reveal nothing about a key.
func sameKey(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
