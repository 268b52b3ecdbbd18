package platform

import (
	"io"
	"net/http"
)

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	b, ok := p.objects[r.PathValue("name")]
	p.mutex.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(b)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.objects[r.PathValue("name")] = b
}
