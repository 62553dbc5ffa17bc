package resume_test

import (
	"testing"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/resume"

	"github.com/shoenig/test/must"
)

const (
	oldKey = "an-old-resume-key-of-32-characters"
	newKey = "a-new-resume-key-of-32-characters!"
)

var (
	now   = time.Unix(1000, 0)
	token = resume.Token{
		Team: "yard", Pool: "farrier-lm", Upstream: "e1", Address: "127.0.0.1:9", Request: "r1",
		DataCentre: "arima", Host: "arima-1",
		Expires: now.Add(resume.TokenTTL),
	}
)

// While a key is rotated, routers with the new and the old key accept tokens signed with either one.
// A router without the new key refuses tokens signed with it.
func TestTokenIsReadByEveryRouterDuringRotation(t *testing.T) {
	before := resume.NewKeys([]string{oldKey})
	during := resume.NewKeys([]string{newKey, oldKey})
	for _, signed := range []string{before.Sign(token), during.Sign(token)} {
		read, refusal := during.Verify(signed, "yard", now)
		must.Nil(t, refusal)
		must.Eq(t, token.Address, read.Address)
		must.True(t, token.Expires.Equal(read.Expires))
		read.Expires = token.Expires
		must.Eq(t, token, read)
	}
	_, refusal := before.Verify(during.Sign(token), "yard", now)
	must.Eq(t, fleet.CodeForbidden, refusal.Code)
}

// A validly signed token is refused for another team and from its expiry on.
func TestTokenOfAnotherTeamOrExpiredIsRefused(t *testing.T) {
	keys := resume.NewKeys([]string{newKey})
	_, refusal := keys.Verify(keys.Sign(token), "racing", now)
	must.Eq(t, fleet.CodeForbidden, refusal.Code)
	_, refusal = keys.Verify(keys.Sign(token), "yard", token.Expires)
	must.Eq(t, fleet.CodeResumeImpossible, refusal.Code)
}

// A token is refused if any one of its bytes has changed.
func TestTokenWithAnyByteChangedIsRefused(t *testing.T) {
	keys := resume.NewKeys([]string{newKey})
	signed := keys.Sign(token)
	for i := range signed {
		changed := []byte(signed)
		changed[i] ^= 1
		_, refusal := keys.Verify(string(changed), "yard", now)
		must.NotNil(t, refusal, must.Sprintf("byte %d", i))
	}
}

// Verify accepts only texts that Sign has returned.
func FuzzVerify(f *testing.F) {
	keys := resume.NewKeys([]string{newKey})
	f.Add(keys.Sign(token))
	f.Add("r1..")
	f.Fuzz(func(t *testing.T, text string) {
		read, refusal := keys.Verify(text, "yard", now)
		if refusal == nil && keys.Sign(read) != text {
			t.Fatalf("accepted %q, which was not signed", text)
		}
	})
}
