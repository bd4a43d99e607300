package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/place"
)

// Guards against a step that is never placed without a line in the log that says why, and against a
// line for each planning pass of such a step.
func TestRefusedPlanIsReportedWithItsCauseOncePerInterval(t *testing.T) {
	c := readyCell(t, 1)
	step := batchStep(20) // more than the worker runs at once
	c.submit("job", step)
	c.advance(400 * time.Millisecond)
	refused := []place.Refusal{
		{TaskID: "job.0.0.0", VM: "w00", Reason: place.ReasonGangDoesNotFit},
		{TaskID: "job.0.0.1", VM: "w00", Reason: place.ReasonPerVMLimit},
	}
	for _, pending := range c.placer.steps {
		for n := range 10 {
			c.placer.reportRefusedPlan(pending, refused, c.now+time.Duration(n)*refusalReportInterval/5)
		}
		c.placer.reportRefusedPlan(pending, nil, c.now+time.Minute)
	}
	var reports []Decision
	for _, d := range c.placer.TakeDecisions() {
		if d.Kind == decisionPlanRefused {
			reports = append(reports, d)
		}
	}
	require.Len(t, reports, 2)
	require.Equal(t, "job", reports[0].Job)
	require.Equal(t, string(place.ReasonPerVMLimit), reports[0].Reason)
	require.EqualValues(t, 2, reports[0].Value)
}
