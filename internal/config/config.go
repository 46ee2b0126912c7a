// Package config loads and validates a controller's settings: the platform's file (JSON, type Settings) and the
// operators' files (YAML, type Tuning), of which a later one overrides the earlier ones. From these settings the
// package derives the limits that the rest of the program observes (methods of Config) and generates the JSON Schema of
// the operators' settings.
//
// A Config is loaded once at startup and never changes. The keys of both files, the names of the types in this
// package and the field name Spread.Bound are part of error texts that operators see and must not change.
package config

// Config holds the platform's settings and the operators' settings.
type Config struct {
	Settings
	Tuning Tuning
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (Team, bool) {
	for _, team := range c.Facts.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
