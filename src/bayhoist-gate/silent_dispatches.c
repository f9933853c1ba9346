/* SPDX-License-Identifier: BSD-3-Clause */
/* Dispatches from whose endpoint nothing comes (bayhoist/silent_dispatch.h): when this node looks at them,
 * and what it then observes. A silent engine is probed shortly before that, so that one which lives behind a
 * dead connection, or to which only this node has no way, is told from one that pauses. */
#include "call_internal.h"

#include "clock.h"
#include "links.h"
#include "log.h"

/* What a question for a report concerns. */
typedef struct {
	Gate *gate;
	uint64_t endpoint_id;
	uint64_t incarnation;
} Probe;

static uint64_t max_wait_us_(const Call *c);
static void probe_(Call *c, uint64_t now_us);
static void on_report_(void *probe, double slowdown);
static BH__SilenceEvidence collect_(const Call *c, uint64_t now_us);
static void log_look_(const Call *c, const BH__SilenceEvidence *evidence,
					  const BH__ServiceRetryBudget *budget, uint64_t now_us);

/* Returns when the call's dispatch is probed or looked at if nothing is received until then; UINT64_MAX:
 * never. */
uint64_t silent_dispatch_get_due_us(const Call *c)
{
	if (c->state != CALL_DISPATCHED || c->paused || c->rule->retry_mode == BH__RETRY_MODE_NEVER ||
		c->end_known || c->is_replacing)
		return UINT64_MAX;
	return bh__silent_dispatch_get_due_us(&c->silence, c->received_us, max_wait_us_(c));
}

/* Returns for how long the call's dispatch may be silent. */
static uint64_t max_wait_us_(const Call *c)
{
	return bh__response_max_wait_us(c->rule, c->service->is_engine,
									c->answer.events.events && c->answer.body == BH__ANSWER_BODY_EVENTS);
}

/* Probes or looks at a dispatch that is due. `budget`: the service's retry budget. Returns true if another
 * endpoint is to be looked for. */
bool silent_dispatch_look(Call *c, const BH__ServiceRetryBudget *budget, uint64_t now_us)
{
	uint64_t overdue_us = c->received_us + max_wait_us_(c);
	bool is_first = c->silence.looked_us < overdue_us;
	BH__SilentDispatchAction last = c->silence.action;
	BH__SilenceEvidence evidence;

	c->silence.looked_us = now_us;
	if (now_us < overdue_us) {
		probe_(c, now_us);
		return false;
	}
	evidence = collect_(c, now_us);
	bh__silent_dispatch_decide(&c->silence, &evidence, max_wait_us_(c), &c->retry, budget, now_us);
	if (is_first || c->silence.action != last) {
		c->gate->counters.overdue[c->silence.action]++;
		log_look_(c, &evidence, budget, now_us);
	}
	return c->silence.action == BH__SILENT_DISPATCH_REPLACE;
}

/* Has this node and a peer connect to the silent engine, and asks it for its report. Once a wait for all of
 * its dispatches. */
static void probe_(Call *c, uint64_t now_us)
{
	Gate *g = c->gate;
	BH__RegisteredEndpoint *e = bh__registry_find(g->registry, c->endpoint_id);
	EndpointRef to;
	Probe *p;

	if (!e || !c->service->is_engine || now_us < e->silence_probed_us + max_wait_us_(c))
		return;
	e->silence_probed_us = now_us;
	links_verify(g->links, e->endpoint_id);
	p = g_new0(Probe, 1);
	p->gate = g;
	p->endpoint_id = e->endpoint_id;
	p->incarnation = e->incarnation;
	to = (EndpointRef){
		.address = e->entry.address, .endpoint_id = e->endpoint_id, .incarnation = e->incarnation};
	g->port->report(g, &to, on_report_, p);
}

/* Records that the engine has answered, if it has, and frees `probe`. */
static void on_report_(void *probe, double slowdown)
{
	Probe *p = probe;
	BH__RegisteredEndpoint *e = bh__registry_find(p->gate->registry, p->endpoint_id);

	if (slowdown > 0 && e && e->incarnation == p->incarnation)
		bh__signal_relay_note_heard(p->gate->signal_relay, e, clock_now_us());
	g_free(p);
}

/* Returns what is observed around the call's dispatch. Plain endpoints aren't compared: a request to one that
 * may run again costs little, and they can't be asked in another way. */
static BH__SilenceEvidence collect_(const Call *c, uint64_t now_us)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, c->endpoint_id);
	BH__SilenceEvidence evidence = {0};

	if (e && e->incarnation == c->endpoint_incarnation && c->service->is_engine)
		bh__silence_evidence_collect(&evidence, c->gate->registry, e, c->received_us, max_wait_us_(c),
									 now_us);
	evidence.is_own_fault = links_choose(c->gate->links, c->endpoint_id) == BH__LINK_ROUTE_PEER;
	return evidence;
}

static void log_look_(const Call *c, const BH__SilenceEvidence *evidence,
					  const BH__ServiceRetryBudget *budget, uint64_t now_us)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, c->endpoint_id);

	log_event("overdue",
			  "request=%s endpoint=%s what=%s silent_ms=%" G_GUINT64_FORMAT
			  " others_heard=%u others_silent=%u endpoint_heard=%s own_fault=%s retry_budget=%.1f"
			  " stopping=%s",
			  c->request->meta.request_id, e ? e->entry.id : "gone",
			  BH__SilentDispatchActionString[c->silence.action], (now_us - c->received_us) / BH__MS_US,
			  evidence->heard, evidence->silent, evidence->is_endpoint_heard ? "yes" : "no",
			  evidence->is_own_fault ? "yes" : "no", budget->level,
			  c->gate->shutdown.began_us ? "yes" : "no");
}
