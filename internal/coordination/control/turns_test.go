package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

// TestTurns_HighestFirstAndAbandonedOnesSkipped checks the order of waiting changes: the highest first, the
// latest among equals, and none whose caller has given up.
func TestTurns_HighestFirstAndAbandonedOnesSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var turns turns
		must.NoError(t, turns.take(t.Context(), 1))
		abandoned, giveUp := context.WithCancel(t.Context())
		var admitted []int
		var group sync.WaitGroup
		wait := func(ctx context.Context, name int, order uint64) {
			group.Go(func() {
				if turns.take(ctx, order) == nil {
					admitted = append(admitted, name)
					turns.done()
				}
			})
			synctest.Wait()
		}
		wait(t.Context(), 0, 5)
		wait(t.Context(), 1, 7)
		wait(abandoned, 2, 9)
		wait(t.Context(), 3, 5)
		giveUp()
		synctest.Wait()
		turns.done()
		group.Wait()
		must.Eq(t, []int{1, 3, 0}, admitted)
		must.NoError(t, turns.take(t.Context(), 1))
	})
}

// TestTurns_LowestDisplacedByTooMany checks that the number of waiting changes is bounded, and that the
// ones of the lowest order are turned away at once.
func TestTurns_LowestDisplacedByTooMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var turns turns
		must.NoError(t, turns.take(t.Context(), 0))
		errs := make([]error, maxWaitingChanges+2)
		var group sync.WaitGroup
		for i := range errs {
			group.Go(func() {
				if errs[i] = turns.take(t.Context(), uint64(i)); errs[i] == nil {
					turns.done()
				}
			})
			synctest.Wait()
		}
		must.ErrorIs(t, errs[0], errTooManyChanges)
		must.ErrorIs(t, errs[1], errTooManyChanges)
		turns.done()
		group.Wait()
		must.False(t, slices.ContainsFunc(errs[2:], func(err error) bool { return err != nil }))
	})
}

// TestTurns_GivenUpAsTheTurnComes checks that a turn which comes as its caller gives up is
// passed on.
func TestTurns_GivenUpAsTheTurnComes(t *testing.T) {
	for range 200 {
		var turns turns
		must.NoError(t, turns.take(t.Context(), 0))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			err := turns.take(ctx, 1)
			if err == nil {
				turns.done()
			}
			ended <- err
		}()
		go cancel()
		turns.done()
		<-ended
		must.NoError(t, turns.take(t.Context(), 2))
		turns.done()
	}
}

// TestDocumentReader_RepeatsReadOnce guards against reading each repeat of a change, several at once: an
// operator sends one that is not acknowledged again, to the same node too.
func TestDocumentReader_RepeatsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reader DocumentReader
		running, most, reads := 0, 0, 0
		read := func(text []byte) (config.Numbered, error) {
			running++
			most = max(most, running)
			reads++
			time.Sleep(100 * time.Millisecond)
			running--
			if string(text) == "bad" {
				return config.Numbered{}, errors.New("no routes")
			}
			return config.Numbered{Number: uint64(len(text)), Document: text}, nil
		}
		var group sync.WaitGroup
		for _, text := range []string{"one", "one", "one", "three", "bad", "three"} {
			group.Go(func() {
				n, err := reader.Read(t.Context(), []byte(text), read)
				if text == "bad" {
					must.ErrorIs(t, err, config.ErrInvalid)
					return
				}
				must.NoError(t, err)
				must.Eq(t, text, string(n.Document))
			})
			synctest.Wait()
		}
		group.Wait()
		must.Eq(t, 1, most)
		must.LessEq(t, 4, reads)

		reads = 0
		_, err := reader.Read(t.Context(), []byte("new"), read)
		must.NoError(t, err)
		_, err = reader.Read(t.Context(), []byte("new"), read)
		must.NoError(t, err)
		must.Eq(t, 1, reads)
		reader.Committed(3)
		must.Nil(t, reader.last)
		_, err = reader.Read(t.Context(), []byte("new"), read)
		must.NoError(t, err)
		time.Sleep(readRetention)
		synctest.Wait()
		must.Nil(t, reader.last)
	})
}
