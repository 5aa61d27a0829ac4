package cwentry

import (
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// serveInstances sends the list of instances that the caller can use. The service in
// the query, if any, limits their regions.
func (h *Handler) serveInstances(w http.ResponseWriter, r *http.Request) {
	s := h.control.Snapshot()
	var allowedRegions cwpolicy.AllowedRegions
	if name := r.URL.Query().Get("service"); name != "" {
		service := s.Config.Service(name)
		if service == nil {
			h.newProblem(http.StatusNotFound, "no-service", "the service is not known").Write(w)
			return
		}
		home := ""
		if account := findAccount(s, r); account != nil {
			home = account.Home
		}
		allowedRegions = cwpolicy.NewAllowedRegions(service.Places, home)
	}
	list := cwanswer.InstanceList{
		Instances:   cwpolicy.RankInstances(s.MembersWithSelf(), h.Settings.Region, allowedRegions, time.Now()),
		HoldSeconds: cwpolicy.InstanceListTTL.Seconds(),
	}
	writeJSON(w, list)
}

// serveTickets issues a ticket for the service in the query.
func (h *Handler) serveTickets(w http.ResponseWriter, r *http.Request) {
	s := h.control.Snapshot()
	service, account, problem := h.authorize(s, r, r.URL.Query().Get("service"))
	if problem != nil {
		problem.Write(w)
		return
	}
	ticket, ok := h.dispatcher.IssueTicket(service.Name, account.Name)
	if !ok {
		h.leavingProblem(s, nil).Write(w)
		return
	}
	writeJSON(w, cwanswer.TicketGrant{Ticket: ticket, ExpiresInSeconds: cwpolicy.TicketLifetime.Seconds()})
}
