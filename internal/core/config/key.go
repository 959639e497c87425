package config

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/zeebo/errs"
)

// KeyID identifies an API key of a team; it is not secret.
type KeyID string

const (
	presentedKeyPrefix = "bhk_"
	keySecretBytes     = 32
	// maxKeyLength limits the length of a presented key in bytes, and so the
	// cost of hashing it.
	maxKeyLength = 128
)

// NewKey generates a key of the given id with a secret read from random. It
// returns the key as callers present it and its hash; only the hash may be
// stored. It returns an error if random does not return enough bytes.
func NewKey(id ulid.ULID, random io.Reader) (presented string, hash []byte, err error) {
	secret := make([]byte, keySecretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", nil, errs.Wrap(err)
	}
	presented = presentedKeyPrefix + id.String() + "_" + base64.RawURLEncoding.EncodeToString(secret)
	return presented, hashKey(presented), nil
}

// ParseKeyID extracts the id from a presented key. It reports false if the key
// is malformed or too long.
func ParseKeyID(presented string) (KeyID, bool) {
	rest, ok := strings.CutPrefix(presented, presentedKeyPrefix)
	if !ok || len(presented) > maxKeyLength {
		return "", false
	}
	id, _, ok := strings.Cut(rest, "_")
	return KeyID(id), ok
}

func hashKey(presented string) []byte {
	sum := sha256.Sum256([]byte(presented))
	return sum[:]
}
