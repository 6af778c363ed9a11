package test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

func TestLat(t *testing.T) {
	f := newFleet(t, layout{domains: 3, hosts: 3, groups: 1})
	c := f.connect(f.hosts[0])
	mustExec(t, c, "CREATE TABLE x (a int4)")
	for j, h := range f.hosts {
		c := f.connect(h)
		mustExec(t, c, "INSERT INTO x VALUES (0)")
		s := time.Now()
		for i := range 100 {
			_, err := c.Exec(context.Background(), fmt.Sprintf("INSERT INTO x VALUES (%d)", i))
			if err != nil {
				t.Log(err)
			}
		}
		t.Log(j, "write", time.Since(s)/100)
	}
	for _, h := range f.hosts {
		for k, v := range scrape(h.admin) {
			if len(k) > 14 && (k[:17] == "coltsfootloft_ack" || k[:17] == "coltsfootloft_pla" || k[:17] == "coltsfootloft_req") {
				t.Log(h.name, k, v)
			}
		}
	}
}
