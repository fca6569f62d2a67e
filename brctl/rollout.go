package brctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/broperator"
)

const (
	waitPollInterval  = 2 * time.Second
	rolloutRolledBack = "taken_back"
)

func (a *App) addRollout() {
	rollout := a.kingpin.Command("rollout", "Change the version of a model.")

	start := rollout.Command("start", "Start a rollout. It finishes or is rolled back by the time in --finish-by.")
	s := &broperator.StartRollout{}
	start.Arg("model", "Model or plain service.").Required().StringVar(&s.Model)
	start.Flag("from", "Version that is currently served.").Required().StringVar(&s.From)
	start.Flag("to", "Version to change to.").Required().StringVar(&s.To)
	finishBy := start.Flag("finish-by", "Time by which the rollout ends, for example 2026-05-04T18:00:00+02:00.").Required().String()
	id := commandID(start)
	a.add(start, func(ctx context.Context, c client) error { return a.rolloutStart(ctx, c, *s, *finishBy, *id) })

	status := rollout.Command("status", "Show all rollouts or one.")
	statusID := status.Arg("rollout", "Rollout ID.").String()
	a.add(status, func(ctx context.Context, c client) error { return a.rolloutStatus(ctx, c, *statusID) })

	abort := rollout.Command("abort", "Roll back a running rollout.")
	abortRollout := abort.Arg("rollout", "Rollout ID.").Required().String()
	abortID := commandID(abort)
	a.add(abort, func(ctx context.Context, c client) error { return a.rolloutAbort(ctx, c, *abortRollout, *abortID) })

	wait := rollout.Command("wait", "Wait for the end of a rollout: exit code 0 if it finished, 1 if it was rolled back, 5 if the limit has passed.")
	waitID := wait.Arg("rollout", "Rollout ID.").Required().String()
	limit := wait.Flag("limit", "Maximum time to wait; 0s means no limit.").Default("0s").Duration()
	a.add(wait, func(ctx context.Context, c client) error { return a.rolloutWait(ctx, c, *waitID, *limit) })
}

func (a *App) rolloutStart(ctx context.Context, c client, s broperator.StartRollout, finishText, id string) error {
	finishBy, err := time.Parse(time.RFC3339, finishText)
	if err != nil {
		return usageError{fmt.Sprintf("--finish-by: %q is not a time of the form 2026-05-04T18:00:00+02:00", finishText)}
	}
	s.FinishBy, s.CommandID = finishBy, a.printCommandID(id)
	acc, err := command[broperator.StartRollout, broperator.Accepted](ctx, c, "POST", broperator.PathRollouts, s.CommandID, s)
	if err != nil {
		return err
	}
	return a.print(acc, func(g *tableWriter) { g.row("started", "rollout-"+acc.CommandID) })
}

func rollouts(ctx context.Context, c client, id string) ([]broperator.Rollout, error) {
	list, err := read[broperator.Empty, []broperator.Rollout](ctx, c, "GET", broperator.PathRollouts, broperator.Empty{})
	if err != nil || id == "" {
		return list, err
	}
	list = slices.DeleteFunc(list, func(r broperator.Rollout) bool { return r.ID != id })
	if len(list) == 0 {
		return nil, brerror.New(brerror.InvalidRequest, "no rollout has the ID %.64q", id).WithField("rollout_id")
	}
	return list, nil
}

func (a *App) rolloutStatus(ctx context.Context, c client, id string) error {
	list, err := rollouts(ctx, c, id)
	if err != nil {
		return err
	}
	return a.printRollouts(list)
}

func (a *App) printRollouts(list []broperator.Rollout) error {
	return a.print(list, func(g *tableWriter) {
		g.row("ROLLOUT", "MODEL", "FROM", "TO", "SHARE", "FINISH_BY", "OUTCOME", "ENDED", "REASON")
		for _, r := range list {
			outcome := r.Outcome
			if outcome == "" {
				outcome = "running"
			}
			g.row(r.ID, r.Model, r.From, r.To, fmt.Sprintf("%g%%", float64(r.SharePerMille)/10), timeText(r.FinishBy), outcome, timeText(r.EndedAt), strings.TrimSpace(r.Reason))
		}
	})
}

func (a *App) rolloutAbort(ctx context.Context, c client, rolloutID, id string) error {
	id = a.printCommandID(id)
	abort := broperator.AbortRollout{CommandID: id, RolloutID: rolloutID}
	acc, err := command[broperator.AbortRollout, broperator.Accepted](ctx, c, "POST", broperator.PathRolloutAbort, id, abort)
	if err != nil {
		return err
	}
	return a.print(acc, func(g *tableWriter) { g.row("rolled back", rolloutID) })
}

// rolloutWait waits until a rollout ends or limit has passed; 0 means no limit.
// It keeps waiting while no daemon responds, because the rollout continues
// meanwhile.
func (a *App) rolloutWait(ctx context.Context, c client, id string, limit time.Duration) error {
	began := a.now()
	for {
		list, err := rollouts(ctx, c, id)
		var unavailable *unavailableError
		switch {
		case err != nil && !errors.As(err, &unavailable):
			return err
		case err == nil && list[0].Outcome != "":
			if err := a.printRollouts(list); err != nil {
				return err
			}
			if list[0].Outcome == rolloutRolledBack {
				return exitCodeError{ExitFailed}
			}
			return nil
		}
		if limit > 0 && a.now().Sub(began) >= limit {
			return &unavailableError{fmt.Errorf("rollout %s has not ended within %v", id, limit)}
		}
		if err := a.pause(ctx, waitPollInterval); err != nil {
			return err
		}
	}
}
