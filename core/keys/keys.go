// Package keys issues the keys that callers authenticate with and checks them.
//
// A key is a name, such as notices.bulletin, and a random secret. The secret is shown
// once, when the key is issued. Only a [Verifier] is stored: the salted hashes that
// SCRAM-SHA-256 (RFC 5802, RFC 7677) needs to check a caller, in the text form that
// PostgreSQL uses for its own passwords. A verifier does not reveal the secret and
// can't be used in its place.
//
// A caller authenticates by a SCRAM exchange, in which the secret never crosses the
// network, or sends the secret in plain text over TLS.
package keys

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	// Iterations is the number of PBKDF2 iterations in an issued verifier.
	Iterations = 4096
	// secretBytes is the number of random bytes in an issued secret.
	secretBytes = 24
	// saltBytes is the number of random bytes in the salt of an issued verifier.
	saltBytes = 16
	// minIterations is the smallest number that clients accept.
	minIterations = 4096
	// maxIterations limits the processor time of [Verifier.Check].
	maxIterations = 100_000
	// mechanism starts the text form of a verifier.
	mechanism = "SCRAM-SHA-256"
)

// Verifier checks a caller's secret without containing it. The zero Verifier accepts
// no secret.
type Verifier struct {
	salt       string
	iterations int
	stored     [sha256.Size]byte
	server     [sha256.Size]byte
}

// Issue returns a new random secret and its verifier. The secret contains only
// characters that need no quoting in connection strings.
func Issue() (secret string, v Verifier, err error) {
	b := make([]byte, secretBytes+saltBytes)
	if _, err := rand.Read(b); err != nil {
		return "", Verifier{}, errors.Wrap(err, "random secret")
	}
	secret = base64.RawURLEncoding.EncodeToString(b[:secretBytes])
	v, err = Derive(secret, b[secretBytes:], Iterations)
	return secret, v, err
}

// Derive returns the verifier of a secret with the given salt and number of PBKDF2
// iterations.
func Derive(secret string, salt []byte, iterations int) (Verifier, error) {
	salted, err := pbkdf2.Key(sha256.New, secret, salt, iterations, sha256.Size)
	if err != nil {
		return Verifier{}, errors.Wrap(err, "derive verifier")
	}
	v := Verifier{
		salt:       string(salt),
		iterations: iterations,
		stored:     sha256.Sum256(hmacSHA256(salted, "Client Key")),
	}
	copy(v.server[:], hmacSHA256(salted, "Server Key"))
	return v, nil
}

// Parse reads the text form that String returns,
// SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>, in which salt and keys
// are in base64.
func Parse(s string) (Verifier, error) {
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return Verifier{}, errors.New("verifier is not of the form " + mechanism + "$iterations:salt$stored:server")
	}
	count, salt, _ := strings.Cut(parts[1], ":")
	stored, server, _ := strings.Cut(parts[2], ":")
	n, err := strconv.Atoi(count)
	if err != nil || n < minIterations || n > maxIterations {
		return Verifier{}, errors.Errorf("verifier iterations are not from %d to %d", minIterations, maxIterations)
	}
	v := Verifier{
		iterations: n,
	}
	b, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(b) == 0 {
		return Verifier{}, errors.New("verifier salt is not base64")
	}
	v.salt = string(b)
	if err := decodeHash(v.stored[:], stored); err != nil {
		return Verifier{}, errors.Wrap(err, "verifier stored key")
	}
	if err := decodeHash(v.server[:], server); err != nil {
		return Verifier{}, errors.Wrap(err, "verifier server key")
	}
	return v, nil
}

// IsZero reports whether v is the zero Verifier.
func (v Verifier) IsZero() bool { return v.iterations == 0 }

// Check reports whether a secret that was sent in plain text is right. It compares in
// constant time and costs about as much processor time as issuing a key.
func (v Verifier) Check(secret string) bool {
	if v.IsZero() {
		return false
	}
	o, err := Derive(secret, []byte(v.salt), v.iterations)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(o.stored[:], v.stored[:]) == 1
}

// Conversation starts the server side of one SCRAM-SHA-256 exchange. Like PostgreSQL,
// it ignores the user name in the exchange, because the startup message has already
// named the key.
func (v Verifier) Conversation() (*scram.ServerConversation, error) {
	s, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return v.Credentials()
	})
	if err != nil {
		return nil, errors.Wrap(err, "scram server")
	}
	return s.NewConversation(), nil
}

// Credentials returns the stored credentials for a SCRAM server. It returns an error
// for the zero Verifier.
func (v Verifier) Credentials() (scram.StoredCredentials, error) {
	if v.IsZero() {
		return scram.StoredCredentials{}, errors.New("no verifier")
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{
			Salt:  v.salt,
			Iters: v.iterations,
		},
		StoredKey: v.stored[:],
		ServerKey: v.server[:],
	}, nil
}

// String returns the text form that is stored in the settings; empty for the zero
// Verifier.
func (v Verifier) String() string {
	if v.IsZero() {
		return ""
	}
	e := base64.StdEncoding
	return fmt.Sprintf("%s$%d:%s$%s:%s", mechanism, v.iterations,
		e.EncodeToString([]byte(v.salt)), e.EncodeToString(v.stored[:]), e.EncodeToString(v.server[:]))
}

// Decoy returns a verifier that accepts no secret, for a key that does not exist. It
// depends only on the seed and the name, so that an exchange for an unknown key can't
// be told from one with a wrong secret. The seed should be random, at least 16 bytes,
// and the same on all hosts.
func Decoy(seed []byte, name string) Verifier {
	v := Verifier{
		iterations: Iterations,
		salt:       string(hmacSHA256(seed, "salt "+name)[:saltBytes]),
	}
	copy(v.stored[:], hmacSHA256(seed, "stored "+name))
	copy(v.server[:], hmacSHA256(seed, "server "+name))
	return v
}

func hmacSHA256(key []byte, message string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(message))
	return h.Sum(nil)
}

func decodeHash(to []byte, s string) error {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil || len(b) != len(to) {
		return errors.Errorf("not %d bytes in base64", len(to))
	}
	copy(to, b)
	return nil
}
