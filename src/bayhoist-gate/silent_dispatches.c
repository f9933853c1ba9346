/* SPDX-License-Identifier: BSD-3-Clause */
/* Dispatches from whose endpoint nothing comes (bayhoist/silent_dispatch.h): when this node looks at them,
 * and what it then observes. */
#include "call_internal.h"

#include "bayhoist/silent_dispatch.h"
#include "clock.h"
#include "links.h"
#include "log.h"

static uint64_t max_wait_us_(const Call *c);

/* Returns when the call's dispatch is looked at if nothing is received until then; UINT64_MAX: never. */
uint64_t silent_dispatch_get_due_us(const Call *c)
{
	if (c->state != CALL_DISPATCHED || c->paused || c->rule->retry_mode == BH__RETRY_MODE_NEVER ||
		c->end_known)
		return UINT64_MAX;
	return bh__silent_dispatch_get_due_us(c->received_us, max_wait_us_(c), c->looked_us);
}

/* Returns for how long the call's dispatch may be silent. */
static uint64_t max_wait_us_(const Call *c)
{
	return bh__response_max_wait_us(c->rule, c->service->is_engine,
									c->answer.events.events && call_is_streaming(c));
}

/* Looks at a dispatch that is overdue, and logs what is seen. */
void silent_dispatch_look(Call *c, uint64_t now_us)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, c->endpoint_id);
	const BH__ServiceRetryBudget *budget = gate_get_budget(c->gate, c->service->name);
	BH__SilenceEvidence evidence = {0};

	c->looked_us = now_us;
	if (e)
		bh__silence_evidence_collect(&evidence, c->gate->registry, e, c->received_us, max_wait_us_(c),
									 now_us);
	log_event("overdue",
			  "request=%s endpoint=%s silent_ms=%" G_GUINT64_FORMAT
			  " others_heard=%u others_silent=%u endpoint_heard=%s retry_budget=%.1f stopping=%s",
			  c->request->meta.request_id, e ? e->entry.id : "gone", (now_us - c->received_us) / BH__MS_US,
			  evidence.heard, evidence.silent, evidence.is_endpoint_heard ? "yes" : "no", budget->level,
			  c->gate->leaving_since_us ? "yes" : "no");
}
