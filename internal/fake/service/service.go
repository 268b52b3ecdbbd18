// Package service is a small fake of a plain service: it counts the calls that it runs and answers
// with the count, so that a call that ran twice is detected.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Service is a fake service. It is an http.Handler.
type Service struct {
	mutex       sync.Mutex
	loseAnswers int
	retryAfter  time.Duration
	runs        int
	refusals    int
}

// Answer is the body of the answer to a call.
type Answer struct {
	Body   string `json:"body"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Run    int    `json:"run"` // number of this run, from 1
}

const maxBodyBytes = 1 << 20

// New returns a service.
func New() *Service {
	return new(Service)
}

// LoseAnswers makes the next n calls run without an answer.
func (s *Service) LoseAnswers(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseAnswers = n
}

// Refusals returns how many calls were refused.
func (s *Service) Refusals() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refusals
}

// Runs returns how many calls ran.
func (s *Service) Runs() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs
}

// ServeHTTP runs one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	if s.retryAfter > 0 {
		s.refusals++
		w.Header().Set("Retry-After", strconv.FormatFloat(s.retryAfter.Seconds(), 'f', -1, 64))
		s.mutex.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.runs++
	n := s.runs
	lose := s.loseAnswers > 0
	if lose {
		s.loseAnswers--
	}
	s.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Body: string(b), Method: r.Method, Path: r.URL.RequestURI(), Run: n})
}

// SetRetryAfter makes the service refuse calls with this Retry-After; 0 makes it run them again.
func (s *Service) SetRetryAfter(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retryAfter = d
}
