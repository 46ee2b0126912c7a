// Package status shows operators the state of a site's controllers. It queries all of them concurrently, over the
// protocol between controllers, and writes the answers as JSON or as tables. A controller that does not answer is
// shown with the reason. The package is read-only and keeps no state.
package status

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"swiftledge/internal/config"
	"swiftledge/internal/peer"
)

// Controller is one controller's answer, or the problem that prevented an answer.
type Controller struct {
	Name    string       `json:"name"`
	Address string       `json:"address"`
	Problem string       `json:"problem,omitempty"`
	Status  *peer.Status `json:"status,omitempty"`
}

// ErrNoAnswer is returned if no controller answered.
var ErrNoAnswer = errors.New("no controller answered")

// Fetch queries all controllers of a site concurrently.
func Fetch(cfg *config.Config) []Controller {
	controllers := []Controller{{Name: cfg.Name, Address: cfg.PeerAddress}}
	for _, other := range cfg.Peers {
		controllers = append(controllers, Controller{Name: other.Name, Address: other.Address})
	}
	FetchEach(controllers)
	return controllers
}

// FetchEach queries the controllers concurrently at their addresses and sets their Status or Problem.
func FetchEach(controllers []Controller) {
	var fetches sync.WaitGroup
	for i := range controllers {
		fetches.Go(controllers[i].fetch)
	}
	fetches.Wait()
}

func (c *Controller) fetch() {
	status, err := peer.FetchStatus(c.Address)
	switch {
	case errors.Is(err, peer.ErrStatusUnsupported):
		c.Problem = "its version does not know the question"
	case err != nil:
		c.Problem = err.Error()
	default:
		c.Status = &status
	}
}

// AnyAnswered reports whether any controller answered.
func AnyAnswered(controllers []Controller) bool {
	return slices.ContainsFunc(controllers, func(c Controller) bool { return c.Status != nil })
}

// WriteJSON writes the complete answers and problems as JSON.
func WriteJSON(w io.Writer, controllers []Controller) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(controllers); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}
