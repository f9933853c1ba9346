/* SPDX-License-Identifier: BSD-3-Clause */
/* Silent plain endpoints (bayhoist/silence.h): finds this node's overdue requests, and picks endpoints by
 * what all nodes know. */
#include "call_internal.h"

#include <string.h>
#include "bayhoist/silence.h"
#include "clock.h"
#include "links.h"

/* Maximum number of overdue requests reported in a tick. */
#define REPORTS_PER_TICK_MAX 32

static bool is_overdue_(const Call *c, uint64_t now_us);
static bool hears_hall_of_(const Gate *g, const BH__RegisteredEndpoint *e, uint64_t since_us);
static bool report_(Call *c, uint64_t now_us);

/* Returns the endpoint of a service without engines that the request is sent to next, or NULL. */
BH__RegisteredEndpoint *silences_pick_endpoint(const Call *c, uint64_t now_us)
{
	BH__Registry *r = c->gate->registry;
	const char *hall = c->gate->settings.hall;

	if (c->retry.retry_mode == BH__RETRY_MODE_NEVER)
		return bh__registry_pick_once(r, c->service->name, hall, c->retry.tried, c->retry.tried_count,
									  now_us);
	return bh__registry_pick(r, c->service->name, hall, c->retry.tried, c->retry.tried_count,
							 c->retry.may_have_run, now_us);
}

/* Returns true if a request that a plain endpoint leaves unanswered can be sent to another one at once, which
 * is not silent as well and needs no permit. */
bool silences_has_other(const Call *c, uint64_t now_us)
{
	uint64_t except[BH__TRIED_MAX + 1];
	unsigned count = c->retry.tried_count;
	const BH__RegisteredEndpoint *e;

	memcpy(except, c->retry.tried, sizeof c->retry.tried);
	except[count++] = c->endpoint_id;
	e = bh__registry_pick(c->gate->registry, c->service->name, c->gate->settings.hall, except, count, false,
						  now_us);
	return e && now_us >= e->silence.until_us && !bh__endpoint_rate_is_limited(&e->rate, now_us);
}

/* Records that something was received from a call's endpoint at `now_us`. */
void silences_note_heard(const Call *c, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, c->endpoint_id);

	if (e && e->incarnation == c->endpoint_incarnation)
		bh__signal_relay_note_heard(c->gate->signal_relay, e, now_us);
}

/* Reports this node's requests that are overdue. Nothing is reported while this node's links are cut. */
void silences_process_tick(Gate *g, uint64_t now_us)
{
	GHashTableIter it;
	gpointer call;
	unsigned reported = 0;

	if (links_are_cut(g->links))
		return;
	g_hash_table_iter_init(&it, g->calls);
	while (reported < REPORTS_PER_TICK_MAX && g_hash_table_iter_next(&it, &call, NULL))
		reported += is_overdue_(call, now_us) && report_(call, now_us);
}

/* Returns true if a plain endpoint has had a request for long, and has sent nothing of its answer. */
static bool is_overdue_(const Call *c, uint64_t now_us)
{
	return c->state == CALL_DISPATCHED && !c->service->is_engine && !c->silence_reported && c->out &&
		   outbound_is_connected(c->out) && c->received_us == c->sent_us &&
		   now_us >= c->sent_us + bh__silence_get_overdue_us(call_longest_answer_us(c),
															 c->rule->target_ms * BH__MS_US);
}

/* Reports an overdue request, unless the way to its endpoint may be the cause. Returns true if it was
 * reported.
 */
static bool report_(Call *c, uint64_t now_us)
{
	Gate *g = c->gate;
	BH__RegisteredEndpoint *e = bh__registry_find(g->registry, c->endpoint_id);

	if (!e || e->incarnation != c->endpoint_incarnation || links_is_doubtful(g->links, c->endpoint_id) ||
		!hears_hall_of_(g, e, c->sent_us))
		return false;
	c->silence_reported = true;
	g->counters.silence_reports++;
	bh__signal_relay_report_silence(g->signal_relay, e, c->sent_us, now_us);
	return true;
}

/* Returns true if this node has since heard from another endpoint of the same hall, or from any if there is
 * no other in that hall: its way there works. */
static bool hears_hall_of_(const Gate *g, const BH__RegisteredEndpoint *e, uint64_t since_us)
{
	bool has_neighbour = false;
	bool hears_any = false;

	for (unsigned i = 0; i < bh__registry_get_count(g->registry); i++) {
		const BH__RegisteredEndpoint *other = bh__registry_get(g->registry, i);
		bool is_neighbour = other != e && !strcmp(other->entry.hall, e->entry.hall);
		bool is_heard = other != e && other->silence.heard_us > since_us;
		if (is_neighbour && is_heard)
			return true;
		has_neighbour |= is_neighbour;
		hears_any |= is_heard;
	}
	return !has_neighbour && hears_any;
}

/* Writes, as metrics, what was done about overdue dispatches, the overdue requests that were reported and the
 * endpoints that are silent now. */
void silences_write_status(const Gate *g, struct evbuffer *out)
{
	uint64_t now_us = clock_now_us();

	evbuffer_add_printf(out, "bayhoist_silence_reports_total %" G_GUINT64_FORMAT "\n",
						g->counters.silence_reports);
	for (int i = 0; i < BH__SILENT_DISPATCH_ACTION_COUNT; i++)
		evbuffer_add_printf(out, "bayhoist_overdue_total{what=\"%s\"} %" G_GUINT64_FORMAT "\n",
							BH__SilentDispatchActionString[i], g->counters.overdue[i]);
	for (unsigned i = 0; i < bh__registry_get_count(g->registry); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(g->registry, i);
		if (now_us < e->silence.until_us)
			evbuffer_add_printf(out, "bayhoist_endpoint_silent{endpoint=\"%s\"} 1\n", e->entry.id);
	}
}
