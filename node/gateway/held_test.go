package gateway

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"agateswitch/node/intake"

	"github.com/shoenig/test/must"
)

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// A router that reads many answers without an end must not hold more than a small host has.
func TestAnswersWithoutEndTogetherStayWithinTheMemory(t *testing.T) {
	const answers = 100
	all := intake.NewAccount(maxHeldBytes)
	var reading sync.WaitGroup
	holdings := make([]holding, answers)
	for i := range holdings {
		holdings[i].account = all
		reading.Go(func() {
			_, err := holdings[i].readComplete(endless{})
			if err != errTooLarge && err != errNoMemory {
				t.Errorf("an endless answer ended with %v", err)
			}
			if sum, _, _ := all.Counts(); sum > maxHeldBytes+answers*2*freeAnswerBytes {
				t.Errorf("%d bytes are held", sum)
			}
		})
	}
	reading.Wait()
	sum, _, _ := all.Counts()
	must.LessEq(t, maxHeldBytes, sum)
	for i := range holdings {
		holdings[i].release()
	}
	sum, _, _ = all.Counts()
	must.Zero(t, sum)
}

// An answer of unknown length that arrives in large pieces used to be counted by the number of reads, not by its size.
func TestLargePiecesOfAnAnswerAreCounted(t *testing.T) {
	all := intake.NewAccount(maxHeldBytes)
	h := holding{account: all}
	body, err := h.readComplete(bytes.NewReader(make([]byte, maxAnswerBytes-1)))
	must.NoError(t, err)
	held, _, _ := all.Counts()
	must.GreaterEq(t, int64(len(body)-freeAnswerBytes), held)
}

// Small answers are read also while the memory for large ones is used up, and large ones when it is not.
func TestMemoryForLargeAnswersIsNotNeededForSmallOnes(t *testing.T) {
	all := intake.NewAccount(maxHeldBytes)
	others := holding{account: all}
	must.True(t, others.grow(maxHeldBytes))
	h := holding{account: all}
	small := bytes.Repeat([]byte("x"), freeAnswerBytes)
	body, err := h.readComplete(bytes.NewReader(small))
	must.NoError(t, err)
	must.Eq(t, len(small), len(body))
	large := bytes.Repeat([]byte("x"), 4*freeAnswerBytes)
	_, err = h.readComplete(bytes.NewReader(large))
	must.ErrorIs(t, err, errNoMemory)
	others.release()
	body, err = h.readComplete(bytes.NewReader(large))
	must.NoError(t, err)
	must.Eq(t, len(large), len(body))
	_, err = h.readComplete(iotest.TimeoutReader(strings.NewReader("cut")))
	must.ErrorIs(t, err, iotest.ErrTimeout)
	_, err = h.readComplete(io.MultiReader(strings.NewReader("cut"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A few callers that read large answers slowly used to keep the memory from all other large answers.
func TestLargeAnswerOfAStalledReaderGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := intake.NewAccount(maxHeldBytes)
		unread, caller := io.Pipe()
		stalled := holding{account: all, abort: func() { unread.CloseWithError(io.ErrClosedPipe) }}
		must.True(t, stalled.grow(maxHeldBytes))
		ended := make(chan error, 1)
		go func() {
			ended <- stalled.deliver(caller, make([]byte, maxHeldBytes/2))
			stalled.release()
		}()
		synctest.Wait()
		next := holding{account: all}
		must.False(t, next.grow(2*freeAnswerBytes), must.Sprint("a caller has time to read"))
		time.Sleep(2 * readerPatience)
		must.True(t, next.grow(2*freeAnswerBytes))
		must.ErrorIs(t, <-ended, io.ErrClosedPipe)
		next.release()
		sum, _, _ := all.Counts()
		must.Zero(t, sum)
	})
}
