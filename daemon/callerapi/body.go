package callerapi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"briarproxy/core/wire"
)

// readBody reads the whole body within the size and time limits. A body that ends
// early is refused: nothing of the request has run.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *wire.Problem) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	control := http.NewResponseController(w)
	// Recorders in tests have no deadline; a real connection always has one.
	_ = control.SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, bodyProblem(err, limit)
	}
	// A read deadline that stays set would cancel the request's context while the
	// request runs.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyProblem(err error, limit int64) *wire.Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(limit)
	}
	return problem(http.StatusBadRequest, "body-incomplete", "send the request again with its whole body", "the body ended early: "+err.Error())
}

func tooLarge(limit int64) *wire.Problem {
	return problem(http.StatusRequestEntityTooLarge, "body-too-large", "send a smaller body", fmt.Sprintf("the body may have at most %d bytes", limit))
}

// bodyLimit is the smaller of the service's limit and the listener's.
func (s *Server) bodyLimit(service string) int64 {
	limit := s.options.MaxBody
	if svc := s.options.View.Current().Set.Services[service]; svc != nil && svc.MaxBodyBytes > 0 {
		limit = min(limit, svc.MaxBodyBytes)
	}
	return limit
}
