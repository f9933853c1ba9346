/* SPDX-License-Identifier: BSD-3-Clause */
/* Asks that come to this node before it may decide: it does not know the endpoints yet, is taking over, or
 * does not schedule the service as far as it knows. */
#include "clock.h"
#include "cluster_internal.h"

#define EARLY_MAX 4096 /* asks that are kept */

/* An ask that waits until this node may decide. */
typedef struct {
	BH__Ask ask;
	uint64_t arrived_us;
} EarlyAsk;

static bool may_decide_(const Cluster *c, const Service *s, uint64_t now_us);
static GList *find_early_(Cluster *c, uint64_t ask_id);

/* A node asks where a request is to go. An ask that comes before this node knows the endpoints, or while it
 * takes over, waits for that. */
void schedulers_process_ask(Cluster *c, const BH__Ask *ask, uint64_t now_us)
{
	Service *s = schedulers_find(c, ask->pool_id);
	EarlyAsk *e;

	if (may_decide_(c, s, now_us)) {
		bh__planner_process_ask(s->planner, ask, now_us);
		return;
	}
	if (find_early_(c, ask->ask_id) || g_queue_get_length(&c->deferred) >= EARLY_MAX)
		return;
	e = g_new0(EarlyAsk, 1);
	e->ask = *ask;
	e->arrived_us = now_us;
	g_queue_push_tail(&c->deferred, e);
	schedulers_say_queued(c, ask);
}

/* Returns true if this node's planner may answer asks of the nodes: it knows the engines and their work. */
static bool may_decide_(const Cluster *c, const Service *s, uint64_t now_us)
{
	return s && gate_knows_endpoints(c->gate) && bh__takeover_is_done(&s->takeover, c->members, now_us);
}

/* Returns the place in the queue of an ask that waits, or NULL. */
static GList *find_early_(Cluster *c, uint64_t ask_id)
{
	for (GList *it = c->deferred.head; it; it = it->next)
		if (((const EarlyAsk *)it->data)->ask.ask_id == ask_id)
			return it;
	return NULL;
}

/* Drops an ask that waits, if it does. */
void schedulers_drop_early(Cluster *c, uint64_t ask_id)
{
	GList *it = find_early_(c, ask_id);

	if (!it)
		return;
	g_free(it->data);
	g_queue_delete_link(&c->deferred, it);
}

/* Looks at the asks that waited. One that came to a node which does not schedule is answered all the same, if
 * that has not changed soon: its sender knows no better one. */
void schedulers_process_early(Cluster *c, uint64_t now_us)
{
	for (guint n = g_queue_get_length(&c->deferred); n > 0; n--) {
		EarlyAsk *e = g_queue_pop_head(&c->deferred);
		Service *s = schedulers_find(c, e->ask.pool_id);
		bool is_old = now_us >= e->arrived_us + BH__TAKEOVER_MAX_US;
		if (may_decide_(c, s, now_us) || (is_old && s && gate_knows_endpoints(c->gate))) {
			bh__planner_process_ask(s->planner, &e->ask, now_us);
			g_free(e);
		}
		else {
			g_queue_push_tail(&c->deferred, e);
		}
	}
}

/* This node knows the endpoints: asks that waited for that are looked at. */
void cluster_process_early(Cluster *c)
{
	schedulers_process_early(c, clock_now_us());
	cluster_drain_inbox(c);
	cluster_schedule_waiting_tick(c);
}
