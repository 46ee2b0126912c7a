package leader

import "swiftledge/internal/config"

// settings are what stays the same for as long as the process runs.
type settings struct {
	cfg     *config.Config
	self    string      // the name of this controller
	storeOK func() bool // whether this controller reaches the store
	teams   map[string]config.Team
	// completionSLO is by class in how many seconds its jobs are expected to be completed.
	completionSLO map[string]float64
	// startSLO is by class in how many seconds its tasks are expected to start; its jobs are never to complete.
	startSLO map[string]float64
}

// New makes a leader that does not lead yet.
func New(cfg *config.Config, storeOK func() bool) *Leader {
	l := &Leader{settings: newSettings(cfg, storeOK)}
	l.reset()
	return l
}

// newSettings sorts the teams by name and the objectives by class.
func newSettings(cfg *config.Config, storeOK func() bool) settings {
	s := settings{cfg: cfg, self: cfg.Name, storeOK: storeOK,
		completionSLO: map[string]float64{}, startSLO: map[string]float64{}, teams: map[string]config.Team{}}
	for _, o := range cfg.Facts.Objectives {
		if o.Kind == config.ObjectiveFinished {
			s.completionSLO[o.Class] = o.WithinS
		}
		if o.Kind == config.ObjectiveWait {
			s.startSLO[o.Class] = o.WithinS
		}
	}
	// What is expected to be done as well is no service.
	for _, o := range cfg.Facts.Objectives {
		if o.Kind == config.ObjectiveFinished || o.Kind == config.ObjectiveDeadline {
			delete(s.startSLO, o.Class)
		}
	}
	for _, t := range cfg.Facts.Teams {
		s.teams[t.Name] = t
	}
	return s
}
