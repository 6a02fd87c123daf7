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

// splice copies bytes between a caller's flow and a connection to the backend server.
type splice struct {
	agent   *Agent
	id      flow.ID
	attempt core.Attempt
	backend *backend.Conn
	caller  *caller.Conn
	request request
	// ended is true when both directions have been copied to their end.
	ended atomic.Bool
}

// Serve opens a new flow. It connects to the backend server before it answers the caller,
// so that a flow which is refused here has delivered no bytes and can be retried on another
// agent. It implements caller.Handler.
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
		// The backend server has restarted meanwhile: the slot was granted while it was warm.
		s.request.end()
		s.backend.Abort()
	}
	if !a.accept(s, request) {
		s.request.end()
		return
	}
	// The handshake has grown the stack of this goroutine. A new goroutine starts with a small
	// one, which saves memory while the flow is idle.
	go s.run()
}

// restartCount returns how many restarts of the backend server have been detected through
// its connections and its health endpoint. It returns zero if restarts are not watched.
func (a *Agent) restartCount() uint64 {
	if a.restarts == nil {
		return 0
	}
	return a.restarts.countRestarts(context.Background())
}

// awaitSlot waits until a new flow may connect to the backend server. It reports false
// if the flow was retried on another agent, handed over to a sibling or refused.
func (a *Agent) awaitSlot(s *splice, request *caller.Request, waitPolicy core.WaitPolicy) bool {
	switch outcome := a.admit(s.id.Caller().Addr(), waitPolicy).(type) {
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

// dial connects to the backend server. If that fails, the backend server counts as
// restarted, and dial reports false: the flow was retried on another agent or refused.
func (a *Agent) dial(s *splice, request *caller.Request) bool {
	conn, err := a.dialer.Dial(context.Background(), s.id.Protocol())
	if err != nil {
		request.Abandon()
		a.logger.WithError(err).Warn("backend server")
		a.handleBackendRestart()
		a.handleFailedOpening(s.id, s.attempt, core.RetryDial, core.RefuseDial)
		return false
	}
	s.backend = conn
	return true
}

// accept answers the caller's handshake. It reports false if the caller did not complete it
// or the agent no longer owns the flow.
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

// handleBackendRestart counts a restart of the backend server and resets its load limit,
// since the server is cold.
func (a *Agent) handleBackendRestart() {
	a.counters.Add("backend_restarts", 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load.ResetLimit()
}

// markOpen records that the flow is established. It reports false if the agent no longer
// owns the flow, because it was reset meanwhile.
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

// markClosed removes a flow that did not open from the core.
func (a *Agent) markClosed(s *splice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.MarkClosed(s.id, s.attempt)
}

// handleFailedOpening retries a flow that could not be opened here on another agent, or
// refuses it. retryReason is recorded for a retry, refuseReason for a refusal because no
// other agent has capacity. The core gives its own reason if the retry budget is used up.
func (a *Agent) handleFailedOpening(id flow.ID, attempt core.Attempt, retryReason, refuseReason core.Reason) {
	a.mu.Lock()
	resolution := a.core.HandleFailedOpening(clock.Now(), id, attempt, retryReason, refuseReason)
	a.mu.Unlock()
	a.executeResolution(&resolution)
}

// handOverPending hands a flow that waits here over to a sibling that has capacity for it.
func (a *Agent) handOverPending(id flow.ID, attempt core.Attempt, to fleet.InstanceID) {
	a.mu.Lock()
	resolution := a.core.HandOverPending(clock.Now(), id, attempt, to)
	a.mu.Unlock()
	a.executeResolution(&resolution)
}

// executeResolution carries out the core's decision about a flow that was not opened here: it
// forwards the opening packet or sends a reset to the caller. If the flow was no longer
// pending, it sends nothing.
func (a *Agent) executeResolution(resolution *core.Resolution) {
	dispatcher, err := a.newDispatcher()
	if err != nil {
		a.counters.Add("drop_send_failed", 1)
		a.logger.WithError(err).Error("cannot create a dispatcher; dropping the opening packet")
		return
	}
	dispatcher.Resolve(resolution)
	dispatcher.Flush()
}

// run copies both directions until they end, then closes both connections.
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

// copyRequests copies from the caller to the backend server. If the caller resets the flow,
// the backend connection is reset too, which cancels the caller's request there.
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

// copyAnswers copies from the backend server to the caller. If the backend connection fails,
// the caller's flow is reset, never closed cleanly: a clean end would make a truncated answer
// look complete.
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

// writeChunk writes a chunk and returns it to its pool.
func writeChunk(to io.Writer, data *chunk.Chunk) error {
	defer data.Put()
	_, err := to.Write(data.Bytes())
	return err
}

// handleBackendEOF closes the direction to the caller. A backend server ends a connection
// without answering a running request only when it goes down, which counts as a restart.
func (s *splice) handleBackendEOF() {
	if s.request.isUnanswered() {
		s.agent.handleBackendRestart()
	}
	s.caller.CloseWrite()
}

// handleBackendError resets the caller's flow. If the backend server reset the connection
// while the flow was still open, that counts as a restart.
func (s *splice) handleBackendError(err error) {
	if errors.Is(err, syscall.ECONNRESET) {
		s.agent.handleBackendRestart()
	}
	s.agent.recordEnd(s.id, resetBackendBroke, err)
	s.caller.Abort()
}

// hasEnded reports whether both directions have been copied to their end.
func (s *splice) hasEnded() bool { return s.ended.Load() }

// abort resets the flow with the caller and the connection to the backend server.
func (s *splice) abort() {
	s.caller.Abort()
	s.backend.Abort()
}
