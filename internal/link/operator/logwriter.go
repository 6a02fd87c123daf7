package operator

import (
	"bytes"
	"expvar"
	"io"
	"sync"
	"time"
)

// lostLines counts the log lines that were dropped because the queue of a LogWriter was full
// or the write failed.
var lostLines = expvar.NewInt("log_lines_lost")

const (
	// queueLength is the number of lines that may wait to be written.
	queueLength = 1024
	// flushInterval is how long lines are collected for one write.
	flushInterval = 50 * time.Millisecond
)

// LogWriter writes log lines in the background. Write never blocks: it drops and counts the
// line if the queue is full.
type LogWriter struct {
	out   io.Writer
	lines chan []byte
	done  sync.WaitGroup
}

// NewLogWriter returns a LogWriter that writes to out. Close stops its goroutine.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, queueLength)}
	w.done.Go(w.run)
	return w
}

// Write queues a copy of a line. It reports success also for a line that is dropped.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		lostLines.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. Write must not be called afterwards.
func (w *LogWriter) Close() error {
	close(w.lines)
	w.done.Wait()
	return nil
}

// run writes queued lines until Close, at most one batch per flushInterval.
func (w *LogWriter) run() {
	for line := range w.lines {
		time.Sleep(flushInterval)
		w.flush(line)
	}
}

// flush writes a line and all lines that are queued after it in one write.
func (w *LogWriter) flush(first []byte) {
	batch, count := bytes.NewBuffer(first), int64(1)
	for {
		select {
		case line, open := <-w.lines:
			if open {
				batch.Write(line)
				count++
				continue
			}
		default:
		}
		break
	}
	if _, err := w.out.Write(batch.Bytes()); err != nil {
		lostLines.Add(count)
	}
}
