/* SPDX-License-Identifier: BSD-3-Clause */
/* What a node that is leaving may still send, and what it logs and counts of that: requests that it takes,
 * refuses, and does not see to their end. */
#include "call_internal.h"

#include "clock.h"
#include "log.h"

static BH__ShutdownRequest describe_(const Call *c);
static bool has_usable_peer_(const Gate *g);

/* Returns true if this node is leaving, and an answer that begins now might outlast it. */
bool call_outlasts_stop(const Call *c)
{
	const BH__Shutdown *s = &c->gate->shutdown;
	BH__ShutdownRequest r;

	if (!s->began_us || c->retry.answer_begun)
		return false;
	r = describe_(c);
	return !bh__shutdown_may_send(s, &r, clock_now_us());
}

/* Returns what is known of the request, for the library's decision. */
static BH__ShutdownRequest describe_(const Call *c)
{
	uint64_t max_wait_us = bh__response_max_wait_us(c->rule, c->service->is_engine, false);

	return (BH__ShutdownRequest){
		.longest_us = call_longest_answer_us(c),
		.max_wait_us = max_wait_us,
		.patience_us = c->rule->streams ? bh__response_patience_us(c->rule) : max_wait_us,
		.silence_us = call_longest_silence_us(c),
		.target_us = c->rule->target_ms * BH__MS_US,
		.is_engine = c->service->is_engine,
		.has_peers = has_usable_peer_(c->gate),
		.is_observed = call_has_observed_answers(c),
	};
}

/* Returns the retry-after in milliseconds of a refusal by a leaving node: short if there is another usable
 * node, otherwise the time until this one has exited. */
uint64_t call_retry_stopping_ms(const Gate *g, uint64_t now_us)
{
	if (has_usable_peer_(g))
		return RETRY_SOON_MS;
	return MAX(bh__shutdown_get_left_us(&g->shutdown, now_us) / BH__MS_US, RETRY_SOON_MS);
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

/* Logs and counts a request that is dispatched while this node is leaving, with the forecast that let it. */
void call_note_sent_at_stop(const Call *c)
{
	Gate *g = c->gate;
	BH__ShutdownRequest r;

	if (!g->shutdown.began_us)
		return;
	r = describe_(c);
	g->counters.stop_dispatches++;
	log_event("stop",
			  "what=taken request=%s since_ms=%" G_GUINT64_FORMAT " arrived_ago_ms=%" G_GUINT64_FORMAT
			  " left_ms=%" G_GUINT64_FORMAT " longest_ms=%" G_GUINT64_FORMAT " needed_ms=%" G_GUINT64_FORMAT
			  " peers=%s sendings=%u",
			  c->request->meta.request_id, (c->sent_us - g->shutdown.began_us) / BH__MS_US,
			  (c->sent_us - c->request->arrived_us) / BH__MS_US,
			  bh__shutdown_get_left_us(&g->shutdown, c->sent_us) / BH__MS_US, r.longest_us / BH__MS_US,
			  bh__shutdown_get_needed_us(&g->shutdown, &r, c->sent_us) / BH__MS_US,
			  r.has_peers ? "yes" : "no", c->retry.dispatches);
}

/* Logs and counts a request that is ended because its answer might outlast this node. */
void call_note_refused_at_stop(const Call *c)
{
	Gate *g = c->gate;
	BH__ShutdownRequest r = describe_(c);
	uint64_t now_us = clock_now_us();

	g->counters.stop_refusals++;
	log_event("refuse",
			  "request=%s cause=stopping left_ms=%" G_GUINT64_FORMAT " longest_ms=%" G_GUINT64_FORMAT
			  " needed_ms=%" G_GUINT64_FORMAT " peers=%s",
			  c->request->meta.request_id, bh__shutdown_get_left_us(&g->shutdown, now_us) / BH__MS_US,
			  r.longest_us / BH__MS_US, bh__shutdown_get_needed_us(&g->shutdown, &r, now_us) / BH__MS_US,
			  r.has_peers ? "yes" : "no");
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
			  ((int64_t)c->request->arrived_us - (int64_t)g->shutdown.began_us) / (int64_t)BH__MS_US,
			  ((int64_t)c->sent_us - (int64_t)g->shutdown.began_us) / (int64_t)BH__MS_US,
			  e ? e->entry.id : "gone", c->out ? (now_us - c->received_us) / BH__MS_US : 0,
			  c->longest_pause_us / BH__MS_US, c->answer.events.events, c->retry.dispatches,
			  !c->out                       ? "none"
			  : outbound_is_relayed(c->out) ? "peer"
											: "direct",
			  c->paused ? "yes" : "no");
}
