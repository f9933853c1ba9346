/* SPDX-License-Identifier: BSD-3-Clause */
/* What a node that is leaving may still send, and what it logs and counts of that: requests that it takes,
 * refuses, and does not see to their end. */
#include "call_internal.h"

#include "clock.h"
#include "log.h"

static uint64_t longest_while_stopping_us_(const Call *c);
static bool has_usable_peer_(const Gate *g);
static uint64_t left_us_(const Gate *g, uint64_t now_us);

/* Returns true if this node is leaving, and an answer that begins now would probably outlast it. */
bool call_outlasts_stop(const Call *c)
{
	const Gate *g = c->gate;

	return g->leaving_since_us && !c->retry.answer_begun &&
		   clock_now_us() + longest_while_stopping_us_(c) > g->answers_due_us;
}

/* Returns a time from dispatch to end, in microseconds, that the answer of a request which this leaving node
 * sends rarely exceeds. If all nodes leave, each schedules for itself, and engines get more than any of them
 * knows of: their first events may be as late as is borne of an engine. */
static uint64_t longest_while_stopping_us_(const Call *c)
{
	uint64_t longest_us = call_longest_answer_us(c);
	uint64_t target_us = c->rule->target_ms * BH__MS_US;
	uint64_t max_wait_us;

	if (!c->service->is_engine || has_usable_peer_(c->gate))
		return longest_us;
	max_wait_us = bh__response_max_wait_us(c->rule, true, false);
	return longest_us + max_wait_us - MIN(target_us, max_wait_us);
}

/* Returns the retry-after in milliseconds of a refusal by a leaving node: short if there is another usable
 * node, otherwise the time until this one has exited. */
uint64_t call_retry_stopping_ms(const Gate *g, uint64_t now_us)
{
	if (has_usable_peer_(g))
		return RETRY_SOON_MS;
	return MAX((g->stop_at_us - MIN(now_us, g->stop_at_us)) / BH__MS_US, RETRY_SOON_MS);
}

/* Returns true if this node knows another one that takes requests. */
static bool has_usable_peer_(const Gate *g)
{
	const BH__Members *m = g->members;

	for (unsigned i = 1; i < bh__members_get_count(m); i++)
		if (bh__member_is_usable(bh__members_get(m, i)))
			return true;
	return false;
}

/* Returns for how long answers of this leaving node may last that begin now. */
static uint64_t left_us_(const Gate *g, uint64_t now_us)
{
	return g->answers_due_us - MIN(now_us, g->answers_due_us);
}

/* Logs and counts a request that is dispatched while this node is leaving, with the forecast that let it. */
void call_note_sent_at_stop(const Call *c)
{
	Gate *g = c->gate;

	if (!g->leaving_since_us)
		return;
	g->counters.stop_dispatches++;
	log_event("stop",
			  "what=taken request=%s since_ms=%" G_GUINT64_FORMAT " arrived_ago_ms=%" G_GUINT64_FORMAT
			  " left_ms=%" G_GUINT64_FORMAT " longest_ms=%" G_GUINT64_FORMAT " peers=%s sendings=%u",
			  c->request->meta.request_id, (c->sent_us - g->leaving_since_us) / BH__MS_US,
			  (c->sent_us - c->request->arrived_us) / BH__MS_US, left_us_(g, c->sent_us) / BH__MS_US,
			  longest_while_stopping_us_(c) / BH__MS_US, has_usable_peer_(g) ? "yes" : "no",
			  c->retry.dispatches);
}

/* Logs and counts a request that is ended because its answer would outlast this node. */
void call_note_refused_at_stop(const Call *c)
{
	Gate *g = c->gate;

	g->counters.stop_refusals++;
	log_event("refuse",
			  "request=%s cause=stopping left_ms=%" G_GUINT64_FORMAT " longest_ms=%" G_GUINT64_FORMAT
			  " peers=%s",
			  c->request->meta.request_id, left_us_(g, clock_now_us()) / BH__MS_US,
			  longest_while_stopping_us_(c) / BH__MS_US, has_usable_peer_(g) ? "yes" : "no");
}

/* Logs and counts a request that has no whole answer when this node exits: when it came, counted from the
 * stop, and what it waits for. */
void call_note_unfinished(const Call *c)
{
	Gate *g = c->gate;
	uint64_t now_us = clock_now_us();
	const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, c->endpoint_id);

	g->counters.stop_unfinished[c->retry.answer_begun]++;
	log_event("stop",
			  "what=unfinished request=%s begun=%s arrived_ms=%" G_GINT64_FORMAT " sent_ms=%" G_GINT64_FORMAT
			  " endpoint=%s silent_ms=%" G_GUINT64_FORMAT " pause_ms=%" G_GUINT64_FORMAT
			  " events=%" G_GUINT64_FORMAT " sendings=%u way=%s unread=%s",
			  c->request->meta.request_id, c->retry.answer_begun ? "yes" : "no",
			  ((int64_t)c->request->arrived_us - (int64_t)g->leaving_since_us) / (int64_t)BH__MS_US,
			  ((int64_t)c->sent_us - (int64_t)g->leaving_since_us) / (int64_t)BH__MS_US,
			  e ? e->entry.id : "gone", c->out ? (now_us - c->received_us) / BH__MS_US : 0,
			  c->longest_pause_us / BH__MS_US, c->answer.events.events, c->retry.dispatches,
			  !c->out                       ? "none"
			  : outbound_is_relayed(c->out) ? "peer"
											: "direct",
			  c->paused ? "yes" : "no");
}
