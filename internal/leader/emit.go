package leader

// emit adds an effect to those of the step under way.
func (l *Leader) emit(e Effect) { l.effects = append(l.effects, e) }

// info writes a log line.
func (l *Leader) info(message string, attributes ...any) {
	l.emit(Log{Message: message, Attributes: attributes})
}

// debug writes a log line for debugging.
func (l *Leader) debug(message string, attributes ...any) {
	l.emit(Log{Debug: true, Message: message, Attributes: attributes})
}
