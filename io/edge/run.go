package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/io/bound"
	"coltsfootloft/io/port"
)

// Run serves until stop ends, and then shuts down gracefully. It fails if an address
// can't be bound, except while the address is taken: then it waits.
func (e *Edge) Run(stop context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	run := func(f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(base)
		}()
	}
	if err := e.bind(stop, run); err != nil {
		if stop.Err() != nil {
			return nil
		}
		return err
	}
	run(e.mirror.Run)
	run(e.lease.Run)
	run(e.pools.Run)
	run(e.evac.Run)
	run(e.failover.Run)
	run(e.failover.Duty.Run)
	for i := range e.quota.Limiters {
		run(func(ctx context.Context) { e.runQuotaShard(ctx, i) })
	}
	accepting, stopAccepting := context.WithCancel(base)
	defer stopAccepting()
	// Both fail only if they can't be bound, and they are.
	run(func(ctx context.Context) { _ = e.peers.Run(ctx) })
	run(func(context.Context) { _ = e.server.Run(accepting) })
	run(e.checkReadinessLoop)
	<-stop.Done()
	e.shutDown(stopAccepting)
	return nil
}

// bind listens on all addresses of the host. The host connects to others only after that:
// an outgoing connection from the same IP could take one of the ports. The ready address is
// served at once, so that the balancer gets an answer while the others are awaited.
func (e *Edge) bind(ctx context.Context, run func(func(context.Context))) error {
	ready, err := port.TCP(ctx, &net.ListenConfig{Control: port.Buffers(bound.ReceiveBuffer, bound.SendBuffer)}, e.log.WithName("ready"), e.settings.Ready)
	if err != nil {
		return errors.Wrap(err, "ready address")
	}
	run(func(ctx context.Context) { e.serveReady(ctx, ready) })
	if err := e.peers.Bind(ctx); err != nil {
		return err
	}
	return e.server.Bind(ctx)
}

// runQuotaShard runs one shard of the client accounts, as soon as it has accounts.
func (e *Edge) runQuotaShard(ctx context.Context, shard int) {
	if !e.quota.AwaitActive(ctx, shard) {
		return
	}
	q := e.quota.Limiters[shard]
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		q.Duty.Run(ctx)
	}()
	q.Run(ctx)
	wg.Wait()
}

const (
	// noticeShare is the part of the grace period in which the load balancer can
	// notice that the host is not ready. It asks each second and needs two failures.
	noticeShare = 0.36
	// transactionShare is the part of the grace period after which open transactions
	// are aborted.
	transactionShare = 0.5
	// serviceShare is the part of the grace period in which statements that are being
	// served can be answered. The rest is for the release of the lease.
	serviceShare = 0.9
)

// shutDown reports the host as not ready, waits for the load balancer to notice, closes
// the listener, and ends the sessions as they become idle. Other hosts that use connections of
// this one turn to other owners at once.
func (e *Edge) shutDown(closeListener func()) {
	e.log.Info("host shutting down", "sessions", e.server.Sessions(), "grace", e.settings.Grace().String())
	close(e.leaving)
	e.checkReadiness()
	e.relay.Leave()
	grace := float64(e.settings.Grace())
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(grace*serviceShare))
	defer cancel()
	txEnd := time.Now().Add(time.Duration(grace * transactionShare))
	time.Sleep(time.Duration(grace * noticeShare))
	closeListener()
	e.server.Drain(ctx, time.Until(txEnd))
	e.relay.Drain(ctx, time.Until(txEnd))
}
