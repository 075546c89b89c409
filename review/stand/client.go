package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// try sends one request of a client to a gateway.
func (f *fleet) try(m *machine, method, host, path string, wait time.Duration) (id string, status int, sealed bool) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	q, err := http.NewRequest(method, "http://"+f.at(m.ip, portFront)+path, nil)
	if err != nil {
		return id, 0, false
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Remaining-Time", strconv.Itoa(int(wait.Milliseconds())))
	c := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	f.rec.say("a client sends %s %s%s to %s, request %s", method, host, path, m.name, id)
	r, err := c.Do(q)
	if err != nil {
		f.rec.say("request %s has no answer", id)
		return id, 0, false
	}
	defer r.Body.Close()
	n, err := io.Copy(io.Discard, r.Body)
	f.rec.say("request %s is answered %d, %d bytes, whole %v, seal %q", id, r.StatusCode, n, err == nil, r.Header.Get("X-Server-Seal"))
	return id, r.StatusCode, r.Header.Get("X-Server-Seal") != ""
}
