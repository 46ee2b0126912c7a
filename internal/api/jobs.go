package api

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Result is the answer to a user: Status for 200 and 201, else Why.
type Result struct {
	Code   int
	Status wire.JobStatus
	Reason string
}

func refuse(code int, why string) Result { return Result{Code: code, Reason: why} }

// Store is what the users' requests need of the state service.
type Store interface {
	Get(ctx context.Context, prio int, key string) (wire.Item, error)
	TryCommit(ctx context.Context, prio int, t wire.Txn) (store.TxnResult, error)
}

// again says whether try n+1 of a request is worth the user's wait: after a
// moment when only the limits were in the way, once when no answer came. Else the
// state service is away, and the user is told at once when to come back.
func again(err error, n int) bool {
	return errors.Is(err, store.ErrRateLimited) && n < 4 || errors.Is(err, store.ErrOutcomeUnknown) && n < 1
}

// What a user waits for at most.
const (
	submitWithin = 3500 * time.Millisecond
	pollWithin   = 1500 * time.Millisecond
)

type formChecker struct {
	val *validator.Validate
	ref *regexp.Regexp
}

func newFormChecker() formChecker {
	f := formChecker{validator.New(validator.WithRequiredStructEnabled()), regexp.MustCompile(`^j-[0-9]{6,18}$`)}
	f.val.RegisterTagNameFunc(func(sf reflect.StructField) string { return strings.Split(sf.Tag.Get("json"), ",")[0] })
	if err := f.val.RegisterValidation("jobref", func(fl validator.FieldLevel) bool { return f.ref.MatchString(fl.Field().String()) }); err != nil {
		panic(err) // the tag name is a constant
	}
	return f
}

func (f formChecker) check(form *wire.JobSubmission) string {
	var bad validator.ValidationErrors
	if errors.As(f.val.Struct(form), &bad) {
		return bad[0].Field() + " is missing or invalid (" + bad[0].Tag() + ")"
	}
	return ""
}

// Submit takes a submission.
func (s *Service) Submit(body []byte) Result {
	var form wire.JobSubmission
	if err := json.Unmarshal(body, &form); err != nil {
		// A known job stays known whatever else its retry holds.
		var only struct {
			Ref string `json:"ref"`
		}
		if json.Unmarshal(body, &only) == nil || only.Ref != "" {
			return s.known(only.Ref, refuse(400, "not a job: "+decodeErrorText(err)))
		}
		return refuse(400, "not a job: "+decodeErrorText(err))
	}
	if why := s.form.check(&form); why != "" {
		ref := ""
		if form.Ref != nil {
			ref = *form.Ref
		}
		return s.known(ref, refuse(400, why))
	}
	job := form.Job()
	v := s.jobs.Lookup(job.Ref)
	if v.FinalState != nil {
		return Result{Code: 200, Status: endStatus(job.Ref, *v.FinalState)}
	}
	types := v.Types
	if len(types) == 0 {
		types = s.storedTypes()
	}
	if len(types) == 0 {
		return s.known(job.Ref, refuse(503, "machine types are not known yet"))
	}
	if why := s.impossible(&job, types); why != "" {
		return s.known(job.Ref, refuse(422, why))
	}
	raw, err := json.Marshal(leader.JobRecord{Spec: job, AcceptedAt: s.wall()})
	if err != nil {
		return refuse(400, err.Error())
	}
	if len(raw) > s.cfg.ValueMax() {
		return s.known(job.Ref, refuse(400, "the job is too large to store"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitWithin)
	defer cancel()
	t := wire.Txn{Conditions: []wire.Condition{{Key: leader.JobPrefix + job.Ref}, {Key: leader.FinalStatePrefix + job.Ref}},
		Writes: []wire.Write{{Put: leader.JobPrefix + job.Ref, Value: raw}}}
	for n := 0; ; n++ {
		o, err := s.store.TryCommit(ctx, store.PriorityUrgent, t)
		switch {
		case err == nil && o.Committed:
			return Result{Code: 201, Status: wire.JobStatus{Ref: job.Ref, State: wire.JobQueued}}
		case err == nil:
			r := s.Status(job.Ref)
			if r.Code == 404 {
				return refuse(503, "the job's state changed meanwhile")
			}
			return r
		}
		if !again(err, n) || !s.pause(ctx, n) {
			return refuse(503, "the state service is away")
		}
	}
}

// known answers for a job that is there already, else r.
func (s *Service) known(ref string, r Result) Result {
	if !s.form.ref.MatchString(ref) {
		return r
	}
	switch l := s.Status(ref); l.Code {
	case 200, 503:
		return l
	}
	return r
}

func (s *Service) storedTypes() []wire.MachineType {
	ctx, cancel := context.WithTimeout(context.Background(), pollWithin)
	defer cancel()
	it, err := s.store.Get(ctx, store.PriorityReads, leader.CatalogKey)
	var c wire.Catalog
	if err != nil || json.Unmarshal(it.Value, &c) != nil {
		return nil
	}
	s.jobs.Post(typesRead{c.Types})
	return c.Types
}

// impossible says why a job can never run.
func (s *Service) impossible(j *wire.Job, types []wire.MachineType) string {
	team, ok := s.cfg.Team(j.Team)
	if !ok {
		return "unknown team " + j.Team
	}
	if j.CPUs > team.CPULimit() || j.GPUs > team.GPULimit() {
		return "one task needs more than the team's limit"
	}
	// A service runs with all its replicas at once, or its users miss some of it.
	if n := float64(j.Tasks); j.IsService() && (n*j.CPUs > team.CPULimit()+1e-9 || n*j.GPUs > team.GPULimit()+1e-9) {
		return "all its tasks together need more than the team's limit"
	}
	for _, t := range types {
		if (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && (j.Zone == "" || slices.Contains(t.ZoneNames, j.Zone)) &&
			j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB {
			return ""
		}
	}
	return "a task fits no allowed machine type and zone"
}

func endStatus(ref string, e leader.FinalStateRecord) wire.JobStatus {
	st := wire.JobStatus{Ref: ref, State: e.State}
	if e.State == wire.JobDone {
		st.Done = e.Tasks
	}
	return st
}

// Status reads a job's state: 200, 404 once the store has said so, or 503.
func (s *Service) Status(ref string) Result {
	if !s.form.ref.MatchString(ref) {
		return refuse(404, "no such job")
	}
	v := s.jobs.Lookup(ref)
	if v.FinalState != nil {
		return Result{Code: 200, Status: endStatus(ref, *v.FinalState)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollWithin)
	defer cancel()
	for n := 0; ; n++ {
		r, err := s.read(ctx, ref, v)
		if err == nil {
			if v.UnansweredFor > 0 {
				s.jobs.Post(questionAnswered{ref})
			}
			return r
		}
		if !again(err, n) || !s.pause(ctx, n) {
			s.jobs.Post(questionRefused{ref})
			return refuse(503, "the state service is away")
		}
	}
}

// starvedAfter is for how long questions about a job may be refused before the next goes first.
const starvedAfter = 15 * clock.Second

// readPriority is that of a question about a job. With more questions than the state service takes,
// chance would leave some jobs without an answer for minutes: those that have waited go first.
func readPriority(v View) int {
	if v.UnansweredFor > starvedAfter {
		return store.PriorityStarvedReads
	}
	return store.PriorityReads
}

func (s *Service) read(ctx context.Context, ref string, v View) (Result, error) {
	prio := readPriority(v)
	// A job moves from job/ to over/ in one transaction, so this order never misses it.
	_, err := s.store.Get(ctx, prio, leader.JobPrefix+ref)
	if err == nil {
		st := wire.JobStatus{Ref: ref, State: wire.JobQueued, Done: v.Count.Done, Running: v.Count.Running}
		if st.Running > 0 {
			st.State = wire.JobRunning
		}
		return Result{Code: 200, Status: st}, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return Result{}, err
	}
	it, err := s.store.Get(ctx, prio, leader.FinalStatePrefix+ref)
	if errors.Is(err, store.ErrNotFound) {
		return refuse(404, "no such job"), nil
	}
	if err != nil {
		return Result{}, err
	}
	var e leader.FinalStateRecord
	if err := json.Unmarshal(it.Value, &e); err != nil {
		return Result{}, err
	}
	s.jobs.Post(ended{ref, e})
	return Result{Code: 200, Status: endStatus(ref, e)}, nil
}

// Cancel ends a job unless it is over; the store decides between done and cancelled.
func (s *Service) Cancel(ref string) Result {
	if !s.form.ref.MatchString(ref) {
		return refuse(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitWithin)
	defer cancel()
	for n := 0; ; n++ {
		r, err := s.tryCancel(ctx, ref)
		if err == nil && r.Code > 0 {
			return r
		}
		changed := err == nil && n < 4
		if !changed && !again(err, n) || !s.pause(ctx, n) {
			return refuse(503, "the state service is away")
		}
	}
}

// tryCancel gives code 0 when the job changed meanwhile.
func (s *Service) tryCancel(ctx context.Context, ref string) (Result, error) {
	it, err := s.store.Get(ctx, store.PriorityUrgent, leader.JobPrefix+ref)
	if errors.Is(err, store.ErrNotFound) {
		return s.read(ctx, ref, View{})
	}
	if err != nil {
		return Result{}, err
	}
	end := leader.FinalStateRecord{State: wire.JobCancelled}
	raw, err := json.Marshal(end)
	if err != nil {
		return Result{}, err
	}
	o, err := s.store.TryCommit(ctx, store.PriorityUrgent, wire.Txn{Conditions: []wire.Condition{{Key: leader.JobPrefix + ref, Version: it.Version}},
		Writes: []wire.Write{{Put: leader.FinalStatePrefix + ref, Value: raw}, {Delete: leader.JobPrefix + ref}}})
	if err != nil || !o.Committed {
		return Result{}, err
	}
	s.jobs.Post(ended{ref, end})
	return Result{Code: 200, Status: endStatus(ref, end)}, nil
}
