// Package resume signs and verifies resume tokens. With a token, a caller can request the rest of
// a stream from any router. The token carries all the data that the router needs, so that routers
// keep no state for it.
package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"agateswitch/core/fleet"
)

// TokenTTL is how long a token is valid.
const TokenTTL = 30 * time.Minute

// MaxTokenBytes is the maximum size of an accepted token.
const MaxTokenBytes = 2 << 10

// prefix identifies the version of the token format.
const prefix = "r1."

// Token identifies a stream on an engine and the team that the stream belongs to.
type Token struct {
	Team     fleet.Team       `json:"t"`
	Pool     fleet.PoolID     `json:"p"`
	Upstream fleet.UpstreamID `json:"u"`
	// Address is the engine's ip:port.
	Address string          `json:"a"`
	Request fleet.RequestID `json:"r"`
	// DataCentre is the engine's data centre.
	DataCentre fleet.DataCentre `json:"d"`
	// Host is the router that last served the stream.
	Host    fleet.HostID `json:"h"`
	Expires time.Time    `json:"e"`
}

// Keys signs and verifies tokens (HMAC-SHA-256, RFC 2104). The first key signs and all keys verify,
// so that a key can be rotated while tokens signed with the old one are in use.
type Keys struct {
	keys [][]byte
}

// NewKeys returns the keys with the given secrets, the signing key first.
func NewKeys(secrets []string) Keys {
	var keys Keys
	for _, secret := range secrets {
		keys.keys = append(keys.keys, []byte(secret))
	}
	return keys
}

// Sign returns the encoded and signed token. It returns an empty string if there is no key.
func (k Keys) Sign(token Token) string {
	if len(k.keys) == 0 {
		return ""
	}
	payload, err := json.Marshal(token)
	if err != nil {
		panic("encode resume token: " + err.Error())
	}
	signed := prefix + base64.RawURLEncoding.EncodeToString(payload)
	return signed + "." + base64.RawURLEncoding.EncodeToString(computeMAC(k.keys[0], signed))
}

// Verify checks and decodes a token for a team. If the token cannot be used, it returns a refusal
// with the reason.
func (k Keys) Verify(text string, team fleet.Team, now time.Time) (Token, *fleet.Refusal) {
	if len(text) > MaxTokenBytes {
		return Token{}, fleet.Refuse(fleet.CodeBadRequest, "the resume token is too long", 0)
	}
	end := strings.LastIndexByte(text, '.')
	if !strings.HasPrefix(text, prefix) || end < len(prefix) {
		return Token{}, fleet.Refuse(fleet.CodeBadRequest, "the resume token is not one", 0)
	}
	if !k.isValidSignature(text[:end], text[end+1:]) {
		return Token{}, fleet.Refuse(fleet.CodeForbidden, "the resume token's signature is wrong", 0)
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(text[len(prefix):end])
	if err != nil {
		return Token{}, fleet.Refuse(fleet.CodeBadRequest, "the resume token is not one", 0)
	}
	var token Token
	if err := json.Unmarshal(payload, &token); err != nil {
		return Token{}, fleet.Refuse(fleet.CodeBadRequest, "the resume token is not one", 0)
	}
	if token.Team != team {
		return Token{}, fleet.Refuse(fleet.CodeForbidden, "the resume token belongs to another team", 0)
	}
	if !now.Before(token.Expires) {
		return Token{}, fleet.Refuse(fleet.CodeResumeImpossible, "the resume token has expired", 0)
	}
	return token, nil
}

// isValidSignature reports whether one of the keys verifies the signature.
func (k Keys) isValidSignature(signed, signature string) bool {
	given, err := base64.RawURLEncoding.Strict().DecodeString(signature)
	if err != nil {
		return false
	}
	for _, key := range k.keys {
		if hmac.Equal(given, computeMAC(key, signed)) {
			return true
		}
	}
	return false
}

func computeMAC(key []byte, signed string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(signed))
	return mac.Sum(nil)
}
