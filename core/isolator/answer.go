package isolator

import "time"

// answerLog holds when each trait was last answered, for one to two periods. Two generations avoid a queue of expiries.
type answerLog struct {
	period    time.Duration
	current   map[Trait]time.Time
	previous  map[Trait]time.Time
	rotatedAt time.Time
}

func newAnswerLog(period time.Duration) answerLog {
	return answerLog{period: period, current: map[Trait]time.Time{}, previous: map[Trait]time.Time{}}
}

// add records an answer. Answers may be added out of order.
func (l *answerLog) add(at time.Time, t Trait) {
	if len(l.current) >= maxAnswers || at.Sub(l.rotatedAt) >= l.period {
		l.current, l.previous, l.rotatedAt = make(map[Trait]time.Time, len(l.current)), l.current, at
	}
	if at.After(l.current[t]) {
		l.current[t] = at
	}
}

// last returns when a trait was last answered, and false if that is not known.
func (l *answerLog) last(t Trait) (time.Time, bool) {
	at, known := l.current[t]
	if !known {
		at, known = l.previous[t]
	}
	return at, known
}
