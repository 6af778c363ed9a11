package keys_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/keys"
)

func Example() {
	secret, v, err := keys.Issue()
	if err != nil {
		panic(err)
	}
	stored, err := keys.Parse(v.String())
	fmt.Println(err, stored.Check(secret), stored.Check("guess"), strings.Contains(v.String(), secret))
	// Output: <nil> true false false
}

// TestVerifierOfRFC7677 uses the SCRAM-SHA-256 example of RFC 7677 as its vector.
func TestVerifierOfRFC7677(t *testing.T) {
	v, err := keys.Derive("pencil", []byte("[m\x99h\x9d\x125\x8e\xec\xa0K\x14\x126\xfa\x81"), 4096)
	assert.NilError(t, err)
	assert.Equal(t, v.String(), "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$"+
		"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=")
}

func TestConversation(t *testing.T) {
	secret, v, err := keys.Issue()
	assert.NilError(t, err)
	for _, user := range []string{"", "*", "notices.bulletin"} {
		assert.Assert(t, converse(t, v, user, secret), "user %q", user)
		assert.Assert(t, !converse(t, v, user, secret+"x"), "user %q", user)
	}
	assert.Assert(t, !converse(t, keys.Decoy([]byte("0123456789abcdef"), "a.b"), "a.b", secret))
}

func converse(t *testing.T, v keys.Verifier, user, secret string) bool {
	t.Helper()
	c, err := scram.SHA256.NewClient(user, secret, "")
	assert.NilError(t, err)
	client := c.NewConversation()
	server, err := v.Conversation()
	assert.NilError(t, err)
	first, err := client.Step("")
	assert.NilError(t, err)
	challenge, err := server.Step(first)
	assert.NilError(t, err)
	proof, err := client.Step(challenge)
	assert.NilError(t, err)
	last, err := server.Step(proof)
	if err != nil {
		return false
	}
	_, err = client.Step(last)
	return err == nil && server.Valid() && client.Valid()
}

func TestParseRefuses(t *testing.T) {
	_, v, err := keys.Issue()
	assert.NilError(t, err)
	good := v.String()
	for _, bad := range []string{
		"",
		"md5abc",
		strings.Replace(good, "SCRAM-SHA-256", "SCRAM-SHA-1", 1),
		strings.Replace(good, "$4096:", "$1:", 1),
		strings.Replace(good, "$4096:", "$4000000000:", 1),
		strings.Replace(good, "$4096:", "$4096:*", 1),
		good[:len(good)-4],
		good + "$",
		strings.Replace(good, "=:", ":", 1),
	} {
		_, err := keys.Parse(bad)
		assert.Assert(t, err != nil, "%q", bad)
	}
	assert.Assert(t, !keys.Verifier{}.Check(""))
}

func TestDecoyIsStable(t *testing.T) {
	seed := []byte("0123456789abcdef")
	assert.Equal(t, keys.Decoy(seed, "a.b").String(), keys.Decoy(seed, "a.b").String())
	assert.Assert(t, keys.Decoy(seed, "a.b").String() != keys.Decoy(seed, "a.c").String())
}
