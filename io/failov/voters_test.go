package failov

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/mirror"
)

// TestVotersFitConnectionLimit guards against a vote that itself exhausts the connection
// limit of a database: users' databases accept 98 connections, and 140 hosts that all
// connect at once to check a database would use all of them.
func TestVotersFitConnectionLimit(t *testing.T) {
	v := &mirror.View{Hosts: make(map[string]mirror.Registration)}
	for i := range 140 {
		v.Hosts[fmt.Sprintf("h%d", i)] = mirror.Registration{Domain: fmt.Sprintf("domain-%d", i%3)}
	}
	asked := voters(v, "db-1")
	assert.Equal(t, len(asked), 3*votersPerDomain)
	domains := make(map[string]int)
	for _, h := range asked {
		domains[v.Hosts[h].Domain]++
	}
	assert.DeepEqual(t, domains, map[string]int{"domain-0": votersPerDomain, "domain-1": votersPerDomain, "domain-2": votersPerDomain})
	// In a fleet of 12 hosts, all are asked.
	small := &mirror.View{Hosts: make(map[string]mirror.Registration)}
	for i := range 12 {
		small.Hosts[fmt.Sprintf("h%d", i)] = mirror.Registration{Domain: fmt.Sprintf("domain-%d", i%3)}
	}
	assert.Equal(t, len(voters(small, "db-1")), 12)
}
