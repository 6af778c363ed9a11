// Package keys issues the secrets that callers present and checks them.
//
// A key is a name, such as notices.bulletin, and a random secret. The secret is
// shown once, when the key is issued. What is stored is a [Verifier]: the salted
// hashes that SCRAM-SHA-256 (RFC 5802, RFC 7677) needs to check a caller, in the
// text form that PostgreSQL uses for its own passwords. A verifier does not
// reveal the secret, and it can't be presented in its place.
//
// A caller proves the key by a SCRAM conversation, so that the secret never
// crosses the network, or sends it in clear inside TLS.
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
	// Iterations of PBKDF2 in an issued verifier.
	Iterations = 4096
	// secretBytes of random data are in an issued secret.
	secretBytes = 24
	// saltBytes of random data are in an issued verifier.
	saltBytes = 16
	// minIterations is the least that clients accept.
	minIterations = 4096
	// maxIterations bounds the processor time of a check in clear.
	maxIterations = 100_000
	// mechanism opens the text form.
	mechanism = "SCRAM-SHA-256"
)

// Verifier checks a caller's secret without holding it. The zero Verifier
// accepts nothing.
type Verifier struct {
	salt       string
	iterations int
	stored     [sha256.Size]byte
	server     [sha256.Size]byte
}

// Issue returns a new random secret, in characters that need no quoting in
// connection strings, and its verifier.
func Issue() (secret string, v Verifier, err error) {
	b := make([]byte, secretBytes+saltBytes)
	if _, err := rand.Read(b); err != nil {
		return "", Verifier{}, errors.Wrap(err, "random secret")
	}
	secret = base64.RawURLEncoding.EncodeToString(b[:secretBytes])
	v, err = Derive(secret, b[secretBytes:], Iterations)
	return secret, v, err
}

// Derive returns the verifier of a secret for this salt and number of PBKDF2
// iterations.
func Derive(secret string, salt []byte, iterations int) (Verifier, error) {
	salted, err := pbkdf2.Key(sha256.New, secret, salt, iterations, sha256.Size)
	if err != nil {
		return Verifier{}, errors.Wrap(err, "derive verifier")
	}
	v := Verifier{
		salt:       string(salt),
		iterations: iterations,
		stored:     sha256.Sum256(sign(salted, "Client Key")),
	}
	copy(v.server[:], sign(salted, "Server Key"))
	return v, nil
}

// Parse reads the form that String writes:
// SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>, the last three in
// base64.
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

// Check compares a secret that was sent in clear, in constant time. It costs
// about as much processor time as issuing the key.
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

// Conversation starts the server side of one SCRAM-SHA-256 exchange. The user
// name in the exchange is ignored, as PostgreSQL does: the caller's startup
// message has named the key.
func (v Verifier) Conversation() (*scram.ServerConversation, error) {
	s, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return v.Credentials()
	})
	if err != nil {
		return nil, errors.Wrap(err, "scram server")
	}
	return s.NewConversation(), nil
}

// Credentials returns the stored credentials for a SCRAM server. It fails on the
// zero Verifier.
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

// String returns the text form that is kept in the settings.
func (v Verifier) String() string {
	if v.IsZero() {
		return ""
	}
	e := base64.StdEncoding
	return fmt.Sprintf("%s$%d:%s$%s:%s", mechanism, v.iterations,
		e.EncodeToString([]byte(v.salt)), e.EncodeToString(v.stored[:]), e.EncodeToString(v.server[:]))
}

// Decoy returns a verifier that no secret passes, for a key that does not exist.
// It depends only on the seed and the name, so that an exchange for an unknown
// key can't be told from one with a wrong secret. The seed should be random and
// the same on all hosts; at least 16 bytes.
func Decoy(seed []byte, name string) Verifier {
	v := Verifier{
		iterations: Iterations,
		salt:       string(sign(seed, "salt "+name)[:saltBytes]),
	}
	copy(v.stored[:], sign(seed, "stored "+name))
	copy(v.server[:], sign(seed, "server "+name))
	return v
}

func sign(key []byte, message string) []byte {
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
