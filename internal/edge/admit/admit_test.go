package admit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/edge/slots"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

// localEntries connects the entries of one process by direct calls.
type localEntries map[string]*Controller

func (e localEntries) Report(ctx context.Context, home string, r slots.Report) (slots.Answer, error) {
	return e[home].HandleReport(ctx, r)
}

func (e localEntries) Wake(ctx context.Context, entry, home string) error {
	return e[entry].Wake(ctx, home)
}

type fixedView struct{ view *route.View }

func (v fixedView) View() *route.View { return v.view }

func viewOf(runners, slots, limit int) fixedView {
	s := route.Service{Settings: docs.Service{Name: "s", QueueLimit: limit, DeadlineMs: 5000}}
	for i := range runners {
		s.Endpoints = append(s.Endpoints, fleet.Endpoint{Service: "s", Name: fmt.Sprint(i), VM: fmt.Sprint(i), Slots: slots})
	}
	return fixedView{&route.View{Services: map[string]route.Service{"s": s}}}
}

// start runs the named entries until the returned function is called; it returns once each entry has slots.
func start(t testing.TB, names []string, view fixedView) (localEntries, func()) {
	tests.PanicOnBreach()
	all, g := localEntries{}, tasks.NewGroup(context.Background())
	for i, name := range names {
		a := New(Options{
			Name: name, Entries: names, Incarnation: uint64(i + 1), Loop: loop.New(loop.DefaultCapacity), Clock: clock.System{},
			Logger: zap.NewNop(), Views: view, Peers: all, Random: rand.IntN, GrantDuration: 3 * time.Second, MaxPerRunner: 8,
		})
		all[name] = a
		g.Start("loop", a.options.Loop.Run)
	}
	for _, a := range all {
		g.Start("run", a.Run)
		for _, other := range names {
			if other != a.options.Name {
				g.Start("link", func(ctx context.Context) error { return a.RunLink(ctx, other) })
			}
		}
	}
	for _, a := range all {
		for deadline := time.Now().Add(20 * time.Second); granted(a) == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s got no slots", a.options.Name)
			}
		}
	}
	return all, func() {
		if err := g.Stop(); err != nil {
			t.Fatal(err)
		}
	}
}

func granted(a *Controller) int {
	row, ok := a.table.Load().services["s"]
	if !ok {
		return 0
	}
	row.service.mu.Lock()
	defer row.service.mu.Unlock()
	return row.service.capacity().Slots
}

// TestSharedSlots calls through one entry of three, then through all of them, and checks that no runner has more
// requests than slots, that each request is admitted or refused, and that no ticket is left.
func TestSharedSlots(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	const runners, slotsPerRunner = 4, 3
	all, stop := start(t, []string{"a", "b", "c"}, viewOf(runners, slotsPerRunner, 64))
	var inProgress [runners]atomic.Int64
	var overLimit, admitted, refused atomic.Int64
	send := func(a *Controller) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		ticket, err := a.Acquire(ctx, route.Request{Service: "s", Deadline: time.Now().Add(5 * time.Second)})
		var refusal *route.Refusal
		if errors.As(err, &refusal) {
			refused.Add(1)
			return
		}
		admitted.Add(1)
		var runner int
		_, err = fmt.Sscan(ticket.Endpoint.Name, &runner)
		if inProgress[runner].Add(1) > slotsPerRunner || err != nil {
			overLimit.Add(1)
		}
		time.Sleep(time.Millisecond)
		inProgress[runner].Add(-1)
		a.Release(ticket, route.Result{Outcome: fleet.OutcomeAnswered, Status: 200})
	}
	var wait sync.WaitGroup
	for i, names := range [][]string{{"a"}, {"a", "b", "c"}} {
		for worker := range 24 {
			wait.Go(func() {
				for range 40 * (i + 1) {
					send(all[names[worker%len(names)]])
				}
			})
		}
		wait.Wait()
	}
	is.Equal(overLimit.Load(), int64(0))                                   // a runner had more requests than slots
	is.Equal(admitted.Load()+refused.Load(), int64(24*40*3))               // a request was lost
	is.True(admitted.Load() > 24*40)                                       // most requests were admitted
	is.Equal(len(all["a"].table.Load().services["s"].service.attempts), 0) // a ticket was left
	stop()
}

// BenchmarkAcquire measures the choice, slot and release from all cores, with the number of runners of today and of
// planned growth.
func BenchmarkAcquire(b *testing.B) {
	for _, runners := range []int{50, 250, 1300} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			all, stop := start(b, []string{"a"}, viewOf(runners, 8, 64))
			defer stop()
			a, r := all["a"], route.Request{Service: "s", Deadline: time.Now().Add(time.Hour)}
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					ticket, err := a.Acquire(context.Background(), r)
					if err != nil {
						b.Error(err)
						return
					}
					a.Release(ticket, route.Result{Outcome: fleet.OutcomeAnswered, Status: 200})
				}
			})
		})
	}
}

// BenchmarkView compares reading the table through an atomic pointer and behind a read-write lock, while a writer
// replaces it 40 times a second.
func BenchmarkView(b *testing.B) {
	var pointer atomic.Pointer[route.View]
	var lock sync.RWMutex
	view := viewOf(250, 8, 64).view
	pointer.Store(view)
	readers := map[string]func() *route.View{
		"pointer": pointer.Load,
		"lock": func() *route.View {
			lock.RLock()
			defer lock.RUnlock()
			return view
		},
	}
	for _, variant := range []string{"pointer", "lock"} {
		b.Run(variant, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				ticker := time.NewTicker(25 * time.Millisecond)
				defer ticker.Stop()
				for {
					select {
					case <-ctx.Done():
						return
					case <-ticker.C:
						pointer.Store(&route.View{Services: view.Services})
						lock.Lock()
						view = &route.View{Services: view.Services}
						lock.Unlock()
					}
				}
			}()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if len(readers[variant]().Services["s"].Endpoints) == 0 {
						b.Error("no endpoints")
					}
				}
			})
			cancel()
			<-ended
		})
	}
}

// TestSlotFreedWithoutRelease guards against a waiting request that is never admitted: a slot can become free
// without a release, for example when an unchanged grant is renewed after it lapsed.
func TestSlotFreedWithoutRelease(t *testing.T) {
	is := is.New(t)
	all, stop := start(t, []string{"a"}, viewOf(1, 1, 8))
	defer stop()
	a := all["a"]
	service := a.table.Load().services["s"].service
	service.mu.Lock()
	share := service.runners[0].share
	service.mu.Unlock()
	// The slot is taken on the share directly, so that its release dispatches no waiting request.
	is.True(share.TryAcquire(time.Now()))
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err := a.Acquire(ctx, route.Request{Service: "s", Deadline: time.Now().Add(time.Minute)})
		ended <- err
	}()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		service.mu.Lock()
		waiting = service.queue.Len()
		service.mu.Unlock()
	}
	share.Release()
	is.NoErr(<-ended) // the waiting request was not admitted
}
