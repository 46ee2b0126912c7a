package leader

// emit adds an effect to the effects of the current step.
func (l *Leader) emit(e Effect) { l.effects = append(l.effects, e) }

// info logs a line at info level.
func (l *Leader) info(message string, attributes ...any) {
	l.emit(Log{Message: message, Attributes: attributes})
}

// debug logs a line at debug level.
func (l *Leader) debug(message string, attributes ...any) {
	l.emit(Log{Debug: true, Message: message, Attributes: attributes})
}
