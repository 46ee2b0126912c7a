package cloud

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"swiftledge/wire"
)

// startClient serves handler as the cloud's API on the loopback interface and returns a client of it.
func startClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(server.Listener.Addr().String(), 100)
}

// Provision and Delete encode requests and decode answers as the protocol requires.
func TestProvisionAndDeleteRequests(t *testing.T) {
	requests := make(chan string, 1)
	client := startClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		requests <- r.Method + " " + r.URL.String() + " " + string(body)
		fmt.Fprint(w, `{"rigs":["host-000231"]}`)
	})
	request := wire.ProvisionRequest{RequestID: "r-17", Type: "g8", Zone: "a", Spot: true, Count: 12}
	names, err := client.Provision(t.Context(), request)
	if err != nil || !slices.Equal(names, []string{"host-000231"}) {
		t.Errorf("provision: machines %v, error %v, want host-000231 and no error", names, err)
	}
	if got, want := <-requests, `POST /hosts {"hire":"r-17","breed":"g8","paddock":"a","stray":true,"count":12}`; got != want {
		t.Errorf("request %s, want %s", got, want)
	}
	if err := client.Delete(t.Context(), names); err != nil {
		t.Error(err)
	}
	if got, want := <-requests, `POST /hosts/delete {"rigs":["host-000231"]}`; got != want {
		t.Errorf("request %s, want %s", got, want)
	}
}

func TestListAndCatalogRequests(t *testing.T) {
	requests := make(chan string, 1)
	client := startClient(t, func(w http.ResponseWriter, r *http.Request) {
		requests <- r.Method + " " + r.URL.String()
		fmt.Fprint(w, `{"rigs":[{"ref":"host-000231"}],"more":true}`)
	})
	page, err := client.List(t.Context(), "host-000230")
	if err != nil || len(page.Machines) != 1 || page.Machines[0].Name != "host-000231" || !page.More {
		t.Errorf("list: page %+v, error %v, want a page with host-000231 and more to follow", page, err)
	}
	if got, want := <-requests, "GET /hosts?most=500&since=host-000230"; got != want {
		t.Errorf("request %s, want %s", got, want)
	}
	if _, err := client.Catalog(t.Context()); err != nil {
		t.Error(err)
	}
	if got, want := <-requests, "GET /catalog"; got != want {
		t.Errorf("request %s, want %s", got, want)
	}
}

// An error names the failed call and wraps the outcome, which says whether the call may have been executed.
func TestErrorsWrapOutcomeAndNameCall(t *testing.T) {
	const noAnswer = 0
	for _, c := range []struct {
		name       string
		status     int
		body       string
		outcome    error
		noCapacity bool   // whether the error wraps ErrNoCapacity
		text       string // "" if the text depends on the operating system
	}{
		{"no capacity", 503, `{"error":"no capacity"}`, ErrNotExecuted, true, "cloud: provision r-17: not executed: no capacity"},
		{"outage", 503, `{"error":"trouble"}`, ErrNotExecuted, false, "cloud: provision r-17: not executed: status 503"},
		{"over the limit", 429, "", ErrNotExecuted, false, "cloud: provision r-17: not executed: status 429"},
		{"malformed", 400, "", ErrNotExecuted, false, "cloud: provision r-17: not executed: status 400"},
		{"other status", 500, "", ErrOutcomeUnknown, false, "cloud: provision r-17: outcome unknown: status 500"},
		{"truncated answer", 200, `{"rigs":`, ErrOutcomeUnknown, false, ""},
		{"no answer", noAnswer, "", ErrOutcomeUnknown, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := startClient(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.status == noAnswer {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			})
			_, err := client.Provision(t.Context(), wire.ProvisionRequest{RequestID: "r-17"})
			var typed *Error
			if !errors.Is(err, c.outcome) || !errors.As(err, &typed) || typed.MayHaveExecuted() != errors.Is(c.outcome, ErrOutcomeUnknown) {
				t.Errorf("error %v, want a cloud.Error with outcome %v", err, c.outcome)
			}
			if errors.Is(err, ErrNoCapacity) != c.noCapacity {
				t.Errorf("error %v, want one that wraps ErrNoCapacity: %t", err, c.noCapacity)
			}
			if c.text != "" && err.Error() != c.text {
				t.Errorf("error %q, want %q", err, c.text)
			}
		})
	}
}

// A call that waits for the rate limit fails without being sent when its context ends.
func TestCallEndsWithContext(t *testing.T) {
	client := startClient(t, func(http.ResponseWriter, *http.Request) { t.Error("the call was sent after its context had ended") })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Catalog(ctx); !errors.Is(err, ErrNotExecuted) || !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want ErrNotExecuted and context.Canceled", err)
	}
}

// TestUnknownFieldsOfAnswersAreIgnored guards against a field that differs from a known one in case alone being taken for
// it: the client would believe in machines that it does not have, or in a lack of capacity.
func TestUnknownFieldsOfAnswersAreIgnored(t *testing.T) {
	client := startClient(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/catalog":
			fmt.Fprint(w, `{"breeds":[{"sku":"g8","cpus":8,"Cpus":64,"SKU":"g9"}],"Breeds":[]}`)
		case "/hosts":
			if r.Method == http.MethodGet {
				fmt.Fprint(w, `{"rigs":[{"ref":"host-000231","Ref":"host-000232"}],"more":false,"More":true,"RIGS":[]}`)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":"trouble","Error":"no capacity"}`)
		}
	})
	catalog, err := client.Catalog(t.Context())
	if err != nil || len(catalog.Types) != 1 || catalog.Types[0].Name != "g8" || catalog.Types[0].CPUs != 8 {
		t.Errorf("catalog: %+v, error %v, want type g8 with 8 CPUs", catalog, err)
	}
	page, err := client.List(t.Context(), "")
	if err != nil || len(page.Machines) != 1 || page.Machines[0].Name != "host-000231" || page.More {
		t.Errorf("list: page %+v, error %v, want the last page, with host-000231", page, err)
	}
	if _, err := client.Provision(t.Context(), wire.ProvisionRequest{}); err == nil || errors.Is(err, ErrNoCapacity) {
		t.Errorf("provision: error %v, want an outage", err)
	}
}
