package leader

import "swiftledge/internal/config"

// settings is the configuration that stays the same for the lifetime of the process.
type settings struct {
	cfg     *config.Config
	self    string      // the name of this controller
	storeOK func() bool // reports whether this controller reaches the store
	teams   map[string]config.Team
	// completionSLO maps a job class to the number of seconds within which its jobs are expected to complete
	// (service-level objective).
	completionSLO map[string]float64
	// startSLO maps a job class of services, which never complete, to the number of seconds within which the class's
	// tasks are expected to start.
	startSLO map[string]float64
}

// New returns a Leader that does not lead yet.
func New(cfg *config.Config, storeOK func() bool) *Leader {
	l := &Leader{settings: newSettings(cfg, storeOK)}
	l.reset()
	return l
}

// newSettings returns the settings of a configuration, with the teams indexed by name and the service-level objectives
// by job class.
func newSettings(cfg *config.Config, storeOK func() bool) settings {
	s := settings{cfg: cfg, self: cfg.Name, storeOK: storeOK,
		completionSLO: map[string]float64{}, startSLO: map[string]float64{}, teams: map[string]config.Team{}}
	for _, objective := range cfg.Facts.Objectives {
		if objective.Kind == config.ObjectiveFinished {
			s.completionSLO[objective.Class] = objective.WithinS
		}
		if objective.Kind == config.ObjectiveWait {
			s.startSLO[objective.Class] = objective.WithinS
		}
	}
	// A class whose jobs are also expected to complete is no service class.
	for _, objective := range cfg.Facts.Objectives {
		if objective.Kind == config.ObjectiveFinished || objective.Kind == config.ObjectiveDeadline {
			delete(s.startSLO, objective.Class)
		}
	}
	for _, team := range cfg.Facts.Teams {
		s.teams[team.Name] = team
	}
	return s
}
