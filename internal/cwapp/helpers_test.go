package cwapp_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// inScene runs a test in a scene with the runtime's clock paused.
func inScene(t *testing.T, services []cwservice.Service, run func(t *testing.T, is *is.I, s *cwscene.Scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := cwscene.NewScene(t, services...)
		defer s.Close()
		run(t, is.New(t), s)
	})
}

// pair is one region with two instances before one plain service.
type pair struct {
	*cwscene.Scene
	a, b  *cwscene.Instance
	plain *cwstandin.Plain
}

func newPair(s *cwscene.Scene, pool string) *pair {
	p := &pair{Scene: s, plain: cwstandin.NewPlain("plain", 0)}
	s.AddEndpoint("north-a", "10.1.0.5", pool, p.plain.Handler())
	s.Publish()
	p.a = s.AddInstance("10.1.0.1", "north", "north-a")
	p.b = s.AddInstance("10.1.0.2", "north", "north-a")
	s.AwaitReady()
	return p
}

func services(list ...cwservice.Service) []cwservice.Service { return list }

// problemOf decodes a problem, which is the zero value for any other answer.
func problemOf(a cwscene.Answer) cwanswer.Problem {
	p := cwanswer.Problem{}
	_ = json.Unmarshal([]byte(a.Body), &p)
	return p
}

const chatBody = `{"model":"chat-model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`

func newRecorder() *httptest.ResponseRecorder { return httptest.NewRecorder() }
