package callerapi

import (
	"net/http"
	"net/url"
	"strconv"

	"briarproxy/core/wire"
	"briarproxy/daemon/router"
)

// request handles POST /v1/services/{service}/requests.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	m, p := parseHeaders(r.Header)
	if p == nil && !printable(service, maxNameLength) {
		p = malformed("the service name must have 1 to %d printable ASCII characters", maxNameLength)
	}
	if p != nil {
		s.refuse(w, r, p)
		return
	}
	body, p := s.readBody(w, r, s.bodyLimit(service))
	if p != nil {
		s.refuse(w, r, p)
		return
	}
	answer, p := s.options.Router.Handle(r.Context(), router.Request{
		ID:             requestID(r),
		Service:        service,
		Operation:      m.operation,
		Class:          m.class,
		Team:           m.team,
		IdempotencyKey: m.key,
		Wait:           m.wait,
		Body:           body,
	})
	if p != nil {
		s.writeProblem(w, r, p)
		return
	}
	s.writeAnswer(w, r, answer)
}

// accepted is the body of a 202 answer.
type accepted struct {
	ID    string        `json:"id"`
	State wire.JobState `json:"state"`
	URL   string        `json:"url"`
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, answer *router.Answer) {
	w.Header().Set(wire.HeaderConfigVersion, strconv.FormatInt(answer.ConfigVersion, 10))
	if answer.JobID != "" {
		w.Header().Set("Location", jobURL(answer.JobID))
	}
	if answer.Result != nil {
		s.writeBody(w, r, http.StatusOK, "application/octet-stream", answer.Result.Body)
		return
	}
	s.writeJSON(w, r, http.StatusAccepted, jsonType, accepted{ID: answer.JobID, State: wire.JobPending, URL: jobURL(answer.JobID)})
}

const jsonType = "application/json"

func jobURL(id string) string { return "/v1/jobs/" + url.PathEscape(id) }
