// Package resume makes and checks the tokens with which a caller gets the rest of a
// stream from any router. A token carries all that the router needs, so that no router
// keeps state for it.
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

// Life is how long a token can be used.
const Life = 30 * time.Minute

// MaxTokenBytes is the largest token that is read.
const MaxTokenBytes = 2 << 10

// prefix names the version of the format.
const prefix = "r1."

// Token names a stream on an engine and the team it belongs to.
type Token struct {
	Team     fleet.Team       `json:"t"`
	Pool     fleet.PoolID     `json:"p"`
	Upstream fleet.UpstreamID `json:"u"`
	// Address is the engine's ip:port.
	Address string          `json:"a"`
	Request fleet.RequestID `json:"r"`
	// DataCentre is the engine's.
	DataCentre fleet.DataCentre `json:"d"`
	// Host is the router that served the stream last.
	Host    fleet.HostID `json:"h"`
	Expires time.Time    `json:"e"`
}

// Keys sign and verify tokens (HMAC-SHA-256, RFC 2104). The first signs, all verify, so
// that a key can be replaced while tokens of the old one are in use.
type Keys struct {
	keys [][]byte
}

// NewKeys makes the keys from their settings.
func NewKeys(texts []string) Keys {
	var keys Keys
	for _, text := range texts {
		keys.keys = append(keys.keys, []byte(text))
	}
	return keys
}

// Sign returns the text form of a token; it is empty when there is no key.
func (k Keys) Sign(token Token) string {
	if len(k.keys) == 0 {
		return ""
	}
	payload, err := json.Marshal(token)
	if err != nil {
		panic("a token always has a JSON form: " + err.Error())
	}
	signed := prefix + base64.RawURLEncoding.EncodeToString(payload)
	return signed + "." + base64.RawURLEncoding.EncodeToString(digest(k.keys[0], signed))
}

// Verify reads a token of a team. The refusal tells why it cannot be used.
func (k Keys) Verify(text string, team fleet.Team, now time.Time) (Token, *fleet.Refusal) {
	if len(text) > MaxTokenBytes {
		return Token{}, fleet.Refuse(fleet.CodeBadRequest, "the resume token is too long", 0)
	}
	end := strings.LastIndexByte(text, '.')
	if !strings.HasPrefix(text, prefix) || end < len(prefix) {
		return Token{}, fleet.Refuse(fleet.CodeBadRequest, "the resume token is not one", 0)
	}
	if !k.isSigned(text[:end], text[end+1:]) {
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

func (k Keys) isSigned(signed, signature string) bool {
	given, err := base64.RawURLEncoding.Strict().DecodeString(signature)
	if err != nil {
		return false
	}
	for _, key := range k.keys {
		if hmac.Equal(given, digest(key, signed)) {
			return true
		}
	}
	return false
}

func digest(key []byte, signed string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(signed))
	return mac.Sum(nil)
}
