package platform

import "net/http"

// discardWriter discards an answer that is to be lost.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header { return d.header }

func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func (d *discardWriter) WriteHeader(int) {}
