package stage

import (
	"net/http"
	"strconv"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// Limits of one page of a list, and of a watch.
const (
	maxListItems = 1000
	maxListBytes = 512 << 10
	maxBlock     = time.Minute
	leaseTick    = 20 * time.Millisecond
)

// Start serves the state service.
func (s *State) Start() (err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.limited(s.serveGet))
	mux.HandleFunc("GET /store", s.limited(s.serveList))
	mux.HandleFunc("POST /multi", s.serveTxn)
	mux.HandleFunc("POST /grants", s.limited(s.serveGrant))
	mux.HandleFunc("POST /grants/{id}/touch", s.limited(s.serveTouch))
	mux.HandleFunc("DELETE /grants/{id}", s.limited(s.serveRevoke))
	mux.HandleFunc("GET /watch", s.serveWatch)
	go func() {
		for range time.Tick(leaseTick) {
			s.expireLeases()
		}
	}()
	s.Address, err = serve(mux)
	return err
}

// limited adds the request limit and the latency to a handler, which executes the request and returns its answer.
func (s *State) limited(execute func(r *http.Request) (status int, body any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(0) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(s.limits.Latency / 2)
		status, body := execute(r)
		time.Sleep(s.limits.Latency / 2)
		reply(w, status, body)
	}
}

func (s *State) serveGet(r *http.Request) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.store.Get(r.PathValue("key"))
	if !found {
		return http.StatusNotFound, map[string]uint64{"ledger": s.revision()}
	}
	return http.StatusOK, item
}

func (s *State) serveList(r *http.Request) (int, any) {
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil {
		most = maxListItems
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items, revision := s.store.List(query.Get("prefix"))
	page, bytes := wire.ItemList{Items: []wire.Item{}, Revision: revision}, 0
	for _, item := range items {
		if item.Key <= query.Get("since") {
			continue
		}
		bytes += len(item.Key) + len(item.Value)
		if page.More = len(page.Items) >= min(most, maxListItems) || bytes > maxListBytes; page.More {
			break
		}
		page.Items = append(page.Items, item)
	}
	return http.StatusOK, page
}

func (s *State) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn wire.Txn
	if !readBody(w, r, &txn) {
		return
	}
	if !s.admit(len(txn.Writes)) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(s.limits.Latency / 2)
	result, problem := s.execute(txn)
	time.Sleep(s.limits.Latency / 2)
	switch {
	case problem != "":
		reply(w, http.StatusBadRequest, wire.TxnResponse{Error: problem})
	case !result.Committed:
		reply(w, http.StatusConflict, wire.TxnResponse{Revision: result.Revision, Failed: result.FailedKeys})
	default:
		reply(w, http.StatusOK, wire.TxnResponse{Revision: result.Revision})
	}
}

func (s *State) serveGrant(r *http.Request) (int, any) {
	var request wire.LeaseRequest
	if !decodeRequest(r, &request) {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := s.store.GrantLease(s.clock.Now(), clock.Micros(request.TTLMs)*clock.Millisecond)
	return http.StatusOK, wire.LeaseResponse{Lease: id}
}

func (s *State) serveTouch(r *http.Request) (int, any) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil || !s.store.RenewLease(s.clock.Now(), id) {
		return http.StatusNotFound, map[string]string{"error": "no such lease"}
	}
	return http.StatusOK, wire.LeaseResponse{Lease: id}
}

func (s *State) serveRevoke(r *http.Request) (int, any) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.revision()
	s.store.RevokeLease(id)
	s.wake(before)
	return http.StatusOK, struct{}{}
}

// serveWatch answers as soon as a key with the prefix has changed.
func (s *State) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(0) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	blockMs, blockErr := strconv.Atoi(query.Get("blockMs"))
	if err != nil || blockErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(blockMs)*time.Millisecond, maxBlock))
	defer timer.Stop()
	for isOver := false; ; {
		s.mutex.Lock()
		response, changed := s.store.ChangesSince(query.Get("prefix"), since), s.changed
		s.mutex.Unlock()
		if len(response.Events) > 0 || isOver {
			reply(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}
