package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// storeService is the state service over HTTP. Each controller has an address of its own, so that one of them can be
// refused alone.
type storeService struct {
	mu      sync.Mutex
	store   *fake.Store
	clock   clock.Steady
	changed chan struct{} // closed at the next change, and then replaced
	refused map[string]bool
	delay   time.Duration // of each response but those to watches
	outages int           // number of outages so far, the present one included
	pending int           // transactions that have arrived and are not answered yet
}

func newStoreService(valueKB float64, txnOps int) *storeService {
	return &storeService{
		store:   fake.NewStore(valueKB, txnOps),
		clock:   clock.NewSteady(),
		changed: make(chan struct{}),
		refused: map[string]bool{},
	}
}

// update runs f while it holds the lock, and wakes the watches afterwards.
func (s *storeService) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeService) setRefused(controller string, refused bool) {
	s.update(func() { s.refused[controller] = refused })
}

// run lets leases expire until done is closed.
func (s *storeService) run(done <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			s.update(func() { s.store.ExpireLeases(s.clock.Now()) })
		}
	}
}

// handler serves one controller.
func (s *storeService) handler(controller string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("POST /multi", s.commit)
	mux.HandleFunc("POST /grants", s.grantLease)
	mux.HandleFunc("POST /grants/{id}/touch", s.renewLease)
	mux.HandleFunc("DELETE /grants/{id}", s.revokeLease)
	mux.HandleFunc("GET /watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, controller) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refused, delay, outages := s.condition(controller)
		if refused {
			writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "unavailable"})
			return
		}
		if r.URL.Path == "/multi" {
			s.countPending(1)
			defer s.countPending(-1)
		}
		if delay > 0 && r.URL.Path != "/watch" {
			time.Sleep(delay)
			if _, _, now := s.condition(controller); now > outages {
				panic(http.ErrAbortHandler) // the outage began meanwhile: not executed, and no response
			}
		}
		mux.ServeHTTP(w, r)
	})
}

// condition returns whether the controller is refused at present, the delay of responses and the number of outages.
func (s *storeService) condition(controller string) (refused bool, delay time.Duration, outages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[controller] || s.store.Down, s.delay, s.outages
}

func (s *storeService) setDelay(delay time.Duration) { s.update(func() { s.delay = delay }) }

// beginOutage begins an outage for all controllers. Open watches stay open.
func (s *storeService) beginOutage() {
	s.update(func() {
		s.store.Down = true
		s.outages++
	})
}

// endOutage ends an outage. All leases have their full time again.
func (s *storeService) endOutage() { s.update(func() { s.store.EndOutage(s.clock.Now()) }) }

func (s *storeService) countPending(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += change
}

func (s *storeService) pendingTxns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

type revisionBody struct {
	Revision uint64 `json:"ledger"`
}

func (s *storeService) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, found := s.store.Get(r.PathValue("key"))
	_, revision := s.store.List(" ")
	s.mu.Unlock()
	if !found {
		writeJSON(w, http.StatusNotFound, revisionBody{revision})
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (s *storeService) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("most"))
	if err != nil || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	items, revision := s.store.List(query.Get("prefix"))
	s.mu.Unlock()
	page := wire.ItemList{Items: []wire.Item{}, Revision: revision}
	for _, item := range items {
		if item.Key <= query.Get("since") {
			continue
		}
		if page.More = len(page.Items) == limit; page.More {
			break
		}
		page.Items = append(page.Items, item)
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *storeService) commit(w http.ResponseWriter, r *http.Request) {
	var txn wire.Txn
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	var result store.TxnResult
	var problem string
	s.update(func() { result, problem = s.store.Txn(txn) })
	switch {
	case problem != "":
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: problem})
	case !result.Committed:
		writeJSON(w, http.StatusConflict, wire.TxnResponse{Revision: result.Revision, Failed: result.FailedKeys})
	default:
		writeJSON(w, http.StatusOK, revisionBody{result.Revision})
	}
}

func (s *storeService) grantLease(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	var id uint64
	s.update(func() { id = s.store.GrantLease(s.clock.Now(), clock.Micros(request.TTLMs)*clock.Millisecond) })
	writeJSON(w, http.StatusOK, wire.LeaseResponse{Lease: id})
}

func (s *storeService) renewLease(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	found := false
	s.update(func() { found = err == nil && s.store.RenewLease(s.clock.Now(), id) })
	if !found {
		writeJSON(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	writeJSON(w, http.StatusOK, wire.LeaseResponse{Lease: id})
}

func (s *storeService) revokeLease(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	s.update(func() { s.store.RevokeLease(id) })
	writeJSON(w, http.StatusOK, struct{}{})
}

// watch answers once a key has changed or the time has run out. While its controller is refused, an open watch waits.
func (s *storeService) watch(w http.ResponseWriter, r *http.Request, controller string) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	blockMs, blockErr := strconv.Atoi(query.Get("blockMs"))
	if err != nil || blockErr != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	timer := time.NewTimer(time.Duration(blockMs) * time.Millisecond)
	defer timer.Stop()
	timedOut := false
	for {
		s.mu.Lock()
		response, changed, refused := s.store.ChangesSince(query.Get("prefix"), since), s.changed,
			s.refused[controller] || s.store.Down
		s.mu.Unlock()
		if !refused && (timedOut || len(response.Events) > 0) {
			if response.Events == nil {
				response.Events = []wire.Event{}
			}
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
