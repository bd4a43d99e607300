package place

import "briarproxy/core/wire"

// narrow reports whether a request limits itself to some workers of its pool, so that
// the notes on shapes that fit nowhere do not apply to it.
func narrow(ask *wire.TaskAsk) bool {
	return ask.Among != nil || ask.Label != "" || ask.PerVM > 0
}

// among examines the workers that the request names. Advice names at most a hundred, so
// the index by free capacity is not needed.
func (s *search) among() {
	s.best = -1
	for _, vm := range s.ask.Among {
		i, known := s.cell.byVM[vm]
		if !known || poolRefuses(&s.cell.states[i], s.ask.Pool) || usableRefuses(&s.cell.states[i]) {
			continue
		}
		s.examine(i)
	}
}
