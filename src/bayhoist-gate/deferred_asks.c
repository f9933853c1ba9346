/* SPDX-License-Identifier: BSD-3-Clause */
/* Deferred asks: admission requests that this node receives while it may not schedule their service, because
 * it does not know the endpoints yet, is taking the service over, or does not hold the duty in its view. */
#include "clock.h"
#include "cluster_internal.h"

#define DEFERRED_MAX 4096 /* deferred asks at most; further ones are dropped */

/* An admission request that waits until this node may schedule. */
typedef struct {
	BH__Ask ask;
	uint64_t arrived_us; /* when this node received it */
} DeferredAsk;

static bool may_schedule_(const Cluster *c, const Service *s, uint64_t now_us);
static GList *find_deferred_(Cluster *c, uint64_t ask_id);

/* Processes a node's admission request: hands it to the planner, or defers it if this node may not schedule
 * the service yet and notifies the sender that it is queued. A repeated ask that is deferred already, and one
 * beyond DEFERRED_MAX, is ignored. */
void schedulers_process_ask(Cluster *c, const BH__Ask *ask, uint64_t now_us)
{
	Service *s = schedulers_find(c, ask->pool_id);
	DeferredAsk *e;

	if (may_schedule_(c, s, now_us)) {
		bh__planner_process_ask(s->planner, ask, now_us);
		return;
	}
	if (find_deferred_(c, ask->ask_id) || g_queue_get_length(&c->deferred) >= DEFERRED_MAX)
		return;
	e = g_new0(DeferredAsk, 1);
	e->ask = *ask;
	e->arrived_us = now_us;
	g_queue_push_tail(&c->deferred, e);
	schedulers_notify_queued(c, ask);
}

/* Returns true if this node's planner may answer asks: the endpoints are known, and a takeover of the service
 * has ended, so that the planner also knows the work already granted. */
static bool may_schedule_(const Cluster *c, const Service *s, uint64_t now_us)
{
	return s && gate_has_endpoints(c->gate) && bh__takeover_is_done(&s->takeover, c->members, now_us);
}

/* Returns the queue element of a deferred ask, or NULL if the ask is not deferred. */
static GList *find_deferred_(Cluster *c, uint64_t ask_id)
{
	for (GList *it = c->deferred.head; it; it = it->next)
		if (((const DeferredAsk *)it->data)->ask.ask_id == ask_id)
			return it;
	return NULL;
}

/* Removes an ask from the queue. Does nothing if it is not deferred. */
void schedulers_drop_deferred(Cluster *c, uint64_t ask_id)
{
	GList *it = find_deferred_(c, ask_id);

	if (!it)
		return;
	g_free(it->data);
	g_queue_delete_link(&c->deferred, it);
}

/* Hands the deferred asks that may be answered by now to their planners. An ask that has waited for
 * BH__TAKEOVER_MAX_US is answered even if this node still does not hold the duty, since its sender knows no
 * better scheduler. */
void schedulers_process_deferred(Cluster *c, uint64_t now_us)
{
	for (guint n = g_queue_get_length(&c->deferred); n > 0; n--) {
		DeferredAsk *e = g_queue_pop_head(&c->deferred);
		Service *s = schedulers_find(c, e->ask.pool_id);
		bool is_old = now_us >= e->arrived_us + BH__TAKEOVER_MAX_US;
		if (may_schedule_(c, s, now_us) || (is_old && s && gate_has_endpoints(c->gate))) {
			bh__planner_process_ask(s->planner, &e->ask, now_us);
			g_free(e);
		}
		else {
			g_queue_push_tail(&c->deferred, e);
		}
	}
}

/* Processes the deferred asks and the inbox once this node knows the endpoints. */
void cluster_process_deferred(Cluster *c)
{
	schedulers_process_deferred(c, clock_now_us());
	cluster_drain_inbox(c);
	cluster_schedule_waiting_tick(c);
}
