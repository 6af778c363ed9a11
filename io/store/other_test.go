package store

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// TestAnswerAboutAnotherKeyIsRefused guards against a value that is taken for that of another key, when
// the answer to a call is that to an earlier one.
func TestAnswerAboutAnotherKeyIsRefused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		fmt.Fprint(w, `[{"Key": "p/a/b", "Value": "eA==", "ModifyIndex": 7}]`)
	}))
	defer s.Close()
	c := &Consul{
		Addresses: []string{s.URL},
		Prefix:    "p/",
	}
	defer c.Close()
	e, err := c.Read(t.Context(), "a/b")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value()), "x")
	_, err = c.Read(t.Context(), "a")
	assert.ErrorIs(t, err, coltsfootloft.ErrStoreDown)
	for prefix, known := range map[string]bool{"": true, "a": true, "a/": true, "a/c": false, "b": false} {
		_, _, err := c.List(t.Context(), prefix)
		assert.Equal(t, err == nil, known, "%q: %v", prefix, err)
	}
}
