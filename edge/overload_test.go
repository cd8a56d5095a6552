package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

// occupy takes all slots of a server's only target and returns a function that frees one.
func occupy(s *Server) (free func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range slotsPerTarget {
		s.targets.BeginRequest("t0")
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordEnd("t0", placement.ResultAnswered, time.Millisecond)
	}
}

// firstOfTwo lets two VMs wait for a slot, the second one 50 ms later, and returns which one
// gets the slot that becomes free at the placer after the given time. The caller frees it.
func firstOfTwo(t *testing.T, servers []*Server, free func()) int {
	granted := make(chan int, 2)
	due := structs.Now().Add(10 * time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			request := admission.Request{ProgramDeadline: due, Account: structs.AccountID(fmt.Sprint(i))}
			if _, err := servers[2+i].acquireGrant(ctx, placement.Query{Service: "s"}, request, 5*time.Second, 10*time.Second); err == nil {
				granted <- i
			}
		})
	}
	free()
	first := <-granted
	cancel()
	wg.Wait()
	return first
}

// Guards against a request that loses its place each time its VM asks the placer again.
func TestRequestThatIsAskedForAgainKeepsItsPlace(t *testing.T) {
	for _, after := range []int{730, 750, 770, 790, 810} {
		synctest.Test(t, func(t *testing.T) {
			advanceClock()
			placer, isSilent := 0, false
			servers := newServers(20, 1, &placer, &isSilent)
			free := occupy(servers[0])
			assert.Equal(t, firstOfTwo(t, servers, func() {
				time.Sleep(time.Duration(after) * time.Millisecond)
				free()
			}), 0, "slot free after %d ms", after)
		})
	}
}

// movingPeers is fakePeers with a placer that changes while requests wait.
type movingPeers struct {
	*fakePeers
	placerNow *atomic.Int32
}

func (p *movingPeers) Placer(structs.ServiceID) (structs.VMID, bool) {
	now := int(p.placerNow.Load())
	return structs.VMID(fmt.Sprint(now)), now == p.self
}

func (p *movingPeers) RequestPlacement(ctx context.Context, _ structs.VMID, q fleet.PlacementRequest) (fleet.PlacementReply, error) {
	time.Sleep(2 * time.Millisecond)
	return p.servers[p.placerNow.Load()].PlaceForPeer(ctx, q), nil
}

// Guards against an order that is lost with the placer: the VM that takes over learns how
// long each request has waited, whichever asks first.
func TestQueueIsRebuiltAtAnotherPlacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, false
		servers := newServers(20, 1, &placer, &isSilent)
		var placerNow atomic.Int32
		for _, s := range servers {
			s.opts.Peers = &movingPeers{fakePeers: s.opts.Peers.(*fakePeers), placerNow: &placerNow}
		}
		occupy(servers[0])
		free := occupy(servers[1])
		assert.Equal(t, firstOfTwo(t, servers, func() {
			time.Sleep(520 * time.Millisecond)
			placerNow.Store(1) // the second request is asked for there first
			time.Sleep(120 * time.Millisecond)
			free()
		}), 0)
	})
}

func queueLen(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue("s").Len()
}

// Guards against abandoned requests that keep others waiting, at the placer too, also
// between two of their VM's requests to it and when the request may not be repeated.
func TestAbandonedRequestLeavesTheQueue(t *testing.T) {
	for _, after := range []time.Duration{250 * time.Millisecond, 305 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			advanceClock()
			placer, isSilent := 0, false
			servers := newServers(20, 1, &placer, &isSilent)
			occupy(servers[0])
			caller, abandon := context.WithCancel(t.Context())
			x := &exchange{Request: &Request{}, server: servers[1], route: &routing.Route{Kind: routing.Unsafe}, caller: caller, deadline: structs.Now().Add(10 * time.Second)}
			done := make(chan error, 1)
			go func() {
				_, err := x.acquireSlot(context.WithoutCancel(caller), placement.Query{Service: "s"})
				done <- err
			}()
			time.Sleep(after)
			assert.Equal(t, queueLen(servers[0]), 1)
			abandon()
			synctest.Wait()
			time.Sleep(5 * time.Millisecond)
			assert.ErrorIs(t, <-done, context.Canceled)
			if queueLen(servers[0]) > 0 { // abandoned between two requests to the placer
				time.Sleep(100 * time.Millisecond)
				servers[0].retryWaiting(t.Context(), time.Now())
			}
			assert.Equal(t, queueLen(servers[0]), 0)
		})
	}
}

// Guards against an early refusal of a request of the previous build, which would ask again
// at once, and against a refusal before the rate of free slots is known.
func TestOnlyVMsThatUnderstandARefusalGetOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, false
		s := newServers(20, 1, &placer, &isSilent)[0]
		var wg sync.WaitGroup
		for range 400 { // 30 slots a second
			wg.Go(func() {
				g, err := s.acquireGrant(t.Context(), placement.Query{Service: "s"}, admission.Request{}, 8*time.Second, time.Minute)
				if err == nil {
					time.Sleep(200 * time.Millisecond)
					s.releaseGrant(g)
				}
			})
		}
		ask := fleet.PlacementRequest{Service: "s", Account: "a", Wait: 100 * time.Millisecond, Patience: 2 * time.Second, TimeLeft: 3 * time.Second, DueIn: time.Minute, Priority: 1}
		withTicket := ask
		withTicket.Ticket = 7
		time.Sleep(time.Millisecond)
		assert.Equal(t, s.PlaceForPeer(t.Context(), withTicket).RetryAfter, time.Duration(0))
		time.Sleep(3 * time.Second)
		start := structs.Now()
		reply := s.PlaceForPeer(t.Context(), withTicket)
		assert.Equal(t, structs.Now(), start)
		assert.Assert(t, reply.RetryAfter > 0 && reply.RetryAfter <= time.Second, "%v", reply.RetryAfter)
		assert.Equal(t, s.PlaceForPeer(t.Context(), ask), fleet.PlacementReply{})
		assert.Equal(t, structs.Now().Sub(start), ask.Wait)
		wg.Wait()
	})
}

// Guards against an account with 8 times its usual load that takes the slots of the others
// when their requests come through 20 VMs: 12 accounts, 30 slots, 1.6 times the capacity.
// Also guards against requests that are refused without a retry delay.
func TestOverloadThroughThePlacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		const targets, accounts, slotTime, seconds, perSecond = 5, 12, 0.2, 10, 240.0
		placer, isSilent := 0, false
		servers := newServers(20, targets, &placer, &isSilent)
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				time.Sleep(retryPeriod)
				servers[0].retryWaiting(ctx, time.Now())
			}
		}()
		var mu sync.Mutex
		var wg sync.WaitGroup
		var offered, served, refused [accounts]int
		rng := rand.New(rand.NewPCG(8, 9))
		end := structs.Now().Add(seconds * time.Second)
		for structs.Now() < end {
			account := max(rng.IntN(accounts-1+8)-7, 0)
			s := servers[rng.IntN(len(servers))]
			offered[account]++
			wg.Go(func() {
				deadline := structs.Now().Add(4 * time.Second)
				request := admission.Request{Account: structs.AccountID(fmt.Sprint(account)), Weight: 10, Deadline: deadline, ProgramDeadline: deadline}
				left := deadline.Sub(structs.Now())
				for left > 400*time.Millisecond {
					g, err := s.acquireGrant(t.Context(), placement.Query{Service: "s"}, request, left/2, left)
					if err == nil {
						time.Sleep(time.Duration(slotTime * float64(time.Second)))
						s.releaseGrant(g)
						mu.Lock()
						served[account]++
						mu.Unlock()
						return
					}
					var overloaded *OverloadedError
					var noFreeSlot *NoFreeSlotError
					after := time.Duration(0)
					switch {
					case errors.As(err, &overloaded):
						after = overloaded.RetryAfter
						mu.Lock()
						refused[account]++
						mu.Unlock()
					case errors.As(err, &noFreeSlot):
						after = noFreeSlot.RetryAfter
					}
					left = deadline.Sub(structs.Now())
					assert.Check(t, after > 0 && after <= max(left/3, time.Millisecond)+10*time.Millisecond, "%v: retry after %v of %v", err, after, left)
					time.Sleep(after)
					left = deadline.Sub(structs.Now())
				}
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		}
		wg.Wait()
		stop()
		t.Logf("offered %v served %v refused early %v", offered, served, refused)
		share := float64(targets*slotsPerTarget) / slotTime * seconds / accounts
		for a := 1; a < accounts; a++ {
			assert.Check(t, float64(served[a]) >= 0.95*min(float64(offered[a]), share), "account %d: %d of %d", a, served[a], offered[a])
		}
		time.Sleep(15 * time.Second)
	})
}
