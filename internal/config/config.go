// Package config reads and checks the settings of a controller: the platform's file (JSON, type Settings) and
// the operators' own (YAML, type Tuning), of which there may be several, one over the other. It derives from
// them the limits that the rest of the program keeps to (type Config), and prints the JSON Schema of the
// operators' settings.
//
// A Config is read once at the start and never changes. The keys of both files, the names of the types here
// and of Spread.Bound are part of texts that operators see, and stay as they are.
package config

// Config is the platform's settings and the operators' own.
type Config struct {
	Settings
	Tuning Tuning
}

// Team returns a team by its name.
func (c *Config) Team(name string) (Team, bool) {
	for _, team := range c.Facts.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
