package operator

import (
	"bytes"
	"expvar"
	"io"
	"sync"
	"time"
)

// lostLines counts the lines that did not fit a writer's queue or could not be written.
var lostLines = expvar.NewInt("log_lines_lost")

const (
	// queueLength is how many lines may wait to be written.
	queueLength = 1024
	// flushInterval is how long lines are gathered for one write.
	flushInterval = 50 * time.Millisecond
)

// LogWriter writes log lines in the background. It never blocks: lines that do not fit
// its queue are dropped and counted.
type LogWriter struct {
	out   io.Writer
	lines chan []byte
	done  sync.WaitGroup
}

// NewLogWriter returns a writer to out. Close ends it.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, queueLength)}
	w.done.Go(w.run)
	return w
}

// Write queues a line.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		lostLines.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued. Write must not be called any more.
func (w *LogWriter) Close() error {
	close(w.lines)
	w.done.Wait()
	return nil
}

func (w *LogWriter) run() {
	for line := range w.lines {
		time.Sleep(flushInterval)
		w.flush(line)
	}
}

// flush writes a line and all that are queued behind it.
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
