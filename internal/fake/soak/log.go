package soak

import (
	"os"
	"sync"
)

// logFile collects the logs of all boxes. It is safe for concurrent use.
type logFile struct {
	file  *os.File
	mutex sync.Mutex
	path  string
}

func newLogFile(path string) *logFile {
	f, err := os.Create(path)
	if err != nil {
		return &logFile{path: path} // without logs, a soak still reports violations
	}
	return &logFile{file: f, path: path}
}

// Write appends a part of a box's log.
func (l *logFile) Write(b []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.file == nil {
		return len(b), nil
	}
	return l.file.Write(b)
}

func (l *logFile) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}
