package failov

import (
	"context"

	"coltsfootloft/core/leader"
	"coltsfootloft/core/rank"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/failov/stewardpb"
	"coltsfootloft/io/mirror"
)

// voters returns the hosts that are asked about a database: the first of each failure
// domain in rendezvous order.
func voters(v *mirror.View, database string) []string {
	perDomain := make(map[string]int)
	var r []string
	for _, h := range rank.Order("vote/"+database, v.HostNames()) {
		if domain := v.Hosts[h].Domain; perDomain[domain] < votersPerDomain {
			perDomain[domain]++
			r = append(r, h)
		}
	}
	return r
}

// isLost asks hosts of all failure domains whether they reach a database, and reports
// whether more of them fail to reach it than reach it. Hosts that do not answer do not
// count.
func (c *Controller) isLost(ctx context.Context, name string, t dbpool.Target, reason string) bool {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	hosts := voters(c.Mirror.View(), t.ID)
	answers := make(chan *bool, len(hosts))
	request := &stewardpb.Request{Reach: &stewardpb.Reach{Database: t.ID}}
	for _, h := range hosts {
		go func() {
			yes, err := c.call(ctx, h, request)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &yes
		}()
	}
	var vote leader.Vote
	unanswered := 0
	for range hosts {
		if a := <-answers; a != nil {
			vote.Add(*a)
		} else {
			unanswered++
		}
	}
	lost := vote.IsUnreachable()
	c.Log.Info("hosts asked whether they reach the primary", "group", name, "database", t.ID, "why", reason, "hosts", len(hosts),
		"silent", unanswered, "lost", lost)
	return lost
}
