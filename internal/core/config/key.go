package config

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/zeebo/errs"
)

// KeyID names a team's key; it is public.
type KeyID string

const (
	keyPrefix      = "bhk_"
	keySecretBytes = 32
	// maxKeyLength bounds what is hashed of a presented key.
	maxKeyLength = 128
)

// NewKey makes a key of the given id with a secret read from random. The
// presented form is shown once; only its hash is kept.
func NewKey(id ulid.ULID, random io.Reader) (presented string, hash []byte, err error) {
	secret := make([]byte, keySecretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", nil, errs.Wrap(err)
	}
	presented = keyPrefix + id.String() + "_" + base64.RawURLEncoding.EncodeToString(secret)
	return presented, hashKey(presented), nil
}

// ParseKeyID returns the id within a presented key.
func ParseKeyID(presented string) (KeyID, bool) {
	rest, ok := strings.CutPrefix(presented, keyPrefix)
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
