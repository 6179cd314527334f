package opshttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

// defaultHistoryLimit is the number of changes returned to a call without a limit.
const defaultHistoryLimit = 20

func (s *Server) applyConfig(ctx context.Context, r *http.Request) (any, error) {
	var apply opsapi.ApplyRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&apply); err != nil {
		return nil, badRequest(fmt.Sprintf("body of the apply: %v", err))
	}
	if apply.ID == "" || apply.Who == "" {
		return nil, badRequest("an apply needs an id and a name in who")
	}
	args := &control.ApplyConfigArgs{
		ID:   config.OperationID(apply.ID),
		Base: apply.Base,
		Who:  apply.Who,
		Wait: time.Duration(apply.WaitSeconds * float64(time.Second)),
	}
	for _, f := range apply.Files {
		args.Files = append(args.Files, config.File{Name: f.Name, Data: []byte(f.Data)})
	}
	reply, err := s.backend.ApplyConfig(ctx, args)
	if err != nil {
		return nil, err
	}
	return &opsapi.ApplyReply{
		Verdict:  string(reply.Outcome.Verdict),
		Revision: reply.Outcome.Revision,
		Who:      reply.Outcome.Who,
		Mistakes: toMistakes(reply.Mistakes),
		Warnings: toMistakes(reply.Warnings),
		InForce:  reply.InForce,
		Waiting:  reply.Waiting,
	}, nil
}

func toMistakes(list []config.Mistake) []opsapi.Mistake {
	var out []opsapi.Mistake
	for _, m := range list {
		out = append(out, opsapi.Mistake{File: m.File, Line: m.Line, Text: m.Text})
	}
	return out
}

func (s *Server) showConfig(ctx context.Context, _ *http.Request) (any, error) {
	reply, err := s.backend.ShowConfig(ctx)
	if err != nil {
		return nil, err
	}
	text, err := yaml.Marshal(reply.Config)
	if err != nil {
		return nil, fmt.Errorf("encode the configuration: %w", err)
	}
	return &opsapi.ConfigReply{Revision: reply.Revision, Digest: reply.Digest.String(), YAML: string(text)}, nil
}

func (s *Server) history(ctx context.Context, r *http.Request) (any, error) {
	limit, err := parseLimit(r, defaultHistoryLimit)
	if err != nil {
		return nil, err
	}
	reply, err := s.backend.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	out := &opsapi.HistoryReply{}
	for _, c := range reply.Changes {
		out.Changes = append(out.Changes, opsapi.Change{
			Revision: c.Revision, Who: c.Who, At: c.At, Summary: c.Summary, Digest: c.Digest.String(),
		})
	}
	return out, nil
}

// parseLimit returns the query parameter "limit", or defaultLimit if it is absent.
func parseLimit(r *http.Request, defaultLimit int) (int, error) {
	value := r.FormValue("limit")
	if value == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 {
		return 0, badRequest("limit must be a whole number, 1 or more")
	}
	return n, nil
}
