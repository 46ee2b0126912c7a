package stage

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// maxRequestBytes is the limit of a request's body (PROTOCOL).
const maxRequestBytes = 64 << 10

// serve serves a handler on a free loopback address until the process ends, and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return listener.Addr().String(), nil
}

// reply answers a request with JSON.
func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the client may have gone
}

// readBody decodes the JSON body of a request. It answers 400 and returns false if the body is malformed.
func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil || json.Unmarshal(raw, body) != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return false
	}
	return true
}

// drop ends a request without an answer.
func drop() { panic(http.ErrAbortHandler) }

// decodeRequest decodes the JSON body of a request, and reports whether it could.
func decodeRequest(r *http.Request, body any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	return err == nil && json.Unmarshal(raw, body) == nil
}
