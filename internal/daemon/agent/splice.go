package agent

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"syscall"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/link/backend"
	"github.com/radishmast/radishmast/internal/link/caller"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/wire/chunk"
)

// splice joins a caller's flow with a connection to the backend server.
type splice struct {
	agent   *Agent
	id      flow.ID
	attempt core.Attempt
	backend *backend.Conn
	caller  *caller.Conn
	request request
	ended   atomic.Bool
}

// Serve connects a new flow to the backend server before it answers the caller,
// so that what is refused here has delivered nothing.
func (a *Agent) Serve(request *caller.Request) {
	id := request.Flow()
	a.mu.Lock()
	pending, found := a.core.PendingFlow(id)
	a.mu.Unlock()
	if !found {
		request.Abandon()
		return
	}
	s := &splice{agent: a, id: id, attempt: pending.Attempt}
	s.request.agent, s.request.member = a, id.Caller().Addr()
	for {
		restarts := a.restartCount()
		if id.Protocol() != flow.UDP && !a.awaitSlot(s, request, pending.WaitPolicy) {
			return
		}
		if !a.dial(s, request) {
			s.request.end()
			return
		}
		if a.restartCount() == restarts {
			break
		}
		// The slot was that of a warm backend server.
		s.request.end()
		s.backend.Abort()
	}
	if !a.accept(s, request) {
		s.request.end()
		return
	}
	// The handshake has grown this goroutine's stack; idle flows keep small ones.
	go s.run()
}

// restartCount returns how often the backend server has restarted, as far as its
// connections and its health endpoint tell by now.
func (a *Agent) restartCount() uint64 {
	if a.restarts == nil {
		return 0
	}
	return a.restarts.countRestarts(context.Background())
}

// awaitSlot waits until a new flow may connect to the backend server. It reports false
// if the flow was handed on or refused.
func (a *Agent) awaitSlot(s *splice, request *caller.Request, patience core.WaitPolicy) bool {
	switch outcome := a.admit(s.id.Caller().Addr(), patience).(type) {
	case core.Expired:
		request.Abandon()
		a.handleFailedOpening(s.id, s.attempt, core.RetryWait, core.RefuseWait)
		return false
	case core.HandedOver:
		request.Abandon()
		a.handOverPending(s.id, s.attempt, outcome.To)
		return false
	case core.Admitted:
		s.request.recordAdmission(clock.Now(), outcome.HasSlot)
	}
	return true
}

// dial connects to the backend server. It reports false if the flow was handed on or
// refused.
func (a *Agent) dial(s *splice, request *caller.Request) bool {
	upstream, err := a.dialer.Dial(context.Background(), s.id.Protocol())
	if err != nil {
		request.Abandon()
		a.logger.WithError(err).Warn("backend server")
		a.handleBackendRestart()
		a.handleFailedOpening(s.id, s.attempt, core.RetryDial, core.RefuseDial)
		return false
	}
	s.backend = upstream
	return true
}

// accept answers the caller's handshake. It reports false if the caller or the flow is
// gone.
func (a *Agent) accept(s *splice, request *caller.Request) bool {
	conn, err := request.Accept()
	if err != nil {
		s.backend.Abort()
		a.counters.Add("refuse_handshake", 1)
		a.markClosed(s)
		return false
	}
	s.caller = conn
	if !a.markOpen(s) {
		s.abort()
		return false
	}
	return true
}

// handleBackendRestart takes the backend server as cold.
func (a *Agent) handleBackendRestart() {
	a.counters.Add("backend_restarts", 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load.ResetLimit()
}

// markOpen registers the flow. It reports false if the flow was cut meanwhile.
func (a *Agent) markOpen(s *splice) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.core.MarkOpen(s.id, s.attempt) {
		return false
	}
	a.splices[s.id] = s
	a.counters.Add("flows_opened", 1)
	return true
}

func (a *Agent) markClosed(s *splice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.MarkClosed(s.id, s.attempt)
}

// handleFailedOpening hands a flow on that could not be opened here, or refuses it.
func (a *Agent) handleFailedOpening(id flow.ID, attempt core.Attempt, retryReason, refuseReason core.Reason) {
	a.mu.Lock()
	retry := a.core.HandleFailedOpening(clock.Now(), id, attempt, retryReason, refuseReason)
	a.mu.Unlock()
	a.executeRetry(&retry)
}

// handOverPending hands a flow to the sibling that has offered room for it.
func (a *Agent) handOverPending(id flow.ID, attempt core.Attempt, to fleet.InstanceID) {
	a.mu.Lock()
	retry := a.core.HandOverPending(clock.Now(), id, attempt, to)
	a.mu.Unlock()
	a.executeRetry(&retry)
}

func (a *Agent) executeRetry(retry *core.Retry) {
	dispatcher, err := a.newDispatcher()
	if err != nil {
		a.counters.Add("drop_send_failed", 1)
		a.logger.WithError(err).Error("retry")
		return
	}
	dispatcher.Retry(retry)
	dispatcher.Flush()
}

// run copies both directions until they end.
func (s *splice) run() {
	var group sync.WaitGroup
	group.Go(s.copyRequests)
	s.copyAnswers()
	group.Wait()
	s.request.end()
	s.caller.Close()
	s.backend.Close()
	s.agent.mu.Lock()
	s.agent.core.MarkClosing(s.id, s.attempt)
	s.agent.mu.Unlock()
	s.ended.Store(true)
}

// copyRequests copies from the caller to the backend server. A caller that
// resets the flow cancels the work at the backend server.
func (s *splice) copyRequests() {
	for {
		data, err := s.caller.Next()
		if errors.Is(err, io.EOF) {
			s.backend.CloseWrite()
			return
		}
		if err != nil {
			s.agent.recordEnd(s.id, cancelCallerGone, err)
			s.backend.Abort()
			return
		}
		s.request.handleCallerData()
		err = writeChunk(s.backend, data)
		if err != nil {
			s.agent.recordEnd(s.id, resetBackendBroke, err)
			s.caller.Abort()
			return
		}
	}
}

// copyAnswers copies from the backend server to the caller. A connection that
// the backend server breaks ends with a reset, never with a clean end.
func (s *splice) copyAnswers() {
	for {
		data, err := s.backend.Next()
		if errors.Is(err, io.EOF) {
			s.handleBackendEOF()
			return
		}
		if err != nil {
			s.handleBackendError(err)
			return
		}
		s.request.recordAnswer()
		if err := writeChunk(s.caller, data); err != nil {
			s.backend.Abort()
			return
		}
	}
}

func writeChunk(to io.Writer, data *chunk.Chunk) error {
	defer data.Put()
	_, err := to.Write(data.Bytes())
	return err
}

// handleBackendEOF passes the end on to the caller. A backend server that owes an
// answer does not finish unless it goes down.
func (s *splice) handleBackendEOF() {
	if s.request.isUnanswered() {
		s.agent.handleBackendRestart()
	}
	s.caller.CloseWrite()
}

// handleBackendError resets the caller. A connection reset by the backend server while
// the flow still ran is a sign of its restart.
func (s *splice) handleBackendError(err error) {
	if errors.Is(err, syscall.ECONNRESET) {
		s.agent.handleBackendRestart()
	}
	s.agent.recordEnd(s.id, resetBackendBroke, err)
	s.caller.Abort()
}

func (s *splice) hasEnded() bool { return s.ended.Load() }

// abort resets both sides.
func (s *splice) abort() {
	s.caller.Abort()
	s.backend.Abort()
}
