/* SPDX-License-Identifier: BSD-3-Clause */
/* The port between the planners and the cluster: sends a planner's decisions as messages, to other nodes and
 * to this node alike, and fetches the engine reports that a planner requests. */
#include "clock.h"
#include "cluster_internal.h"
#include "log.h"

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g);
static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms);
static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask);
static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g);
static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id);
static void on_slowdown_(void *inspection, double slowdown);
static void on_booking_(BH__PlannerPort *port, const BH__Ask *ask, BH__BookingEvent event,
						uint64_t start_in_us, uint64_t waited_us);

/* Fills in the callbacks of a planner's port. The port must be the first member of a Service. */
void schedulers_set_port(BH__PlannerPort *port)
{
	*port = (BH__PlannerPort){.grant = on_grant_,
							  .refuse = on_refuse_,
							  .queued = on_queued_,
							  .abandoned = on_abandoned_,
							  .inspect = on_inspect_,
							  .booking = on_booking_};
}

/* Notifies the node that sent an ask that the ask is queued here. */
void schedulers_notify_queued(Cluster *c, const BH__Ask *ask)
{
	BH__Message m = {.type = BH__MESSAGE_QUEUED};

	m.as.release.pool_id = ask->pool_id;
	m.as.release.grant_id = ask->ask_id;
	cluster_send(c, ask->node_id, &m);
}

/* Sends a grant to the node that asked. */
static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	BH__Message m = {.type = BH__MESSAGE_GRANT};

	m.as.grant = *g;
	cluster_send(((Service *)port)->cluster, g->node_id, &m);
}

/* Sends a refusal to the node that asked. `retry_after_ms`: when the caller may retry. */
static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	BH__Message m = {.type = BH__MESSAGE_REFUSE};

	m.as.refuse.ask_id = ask->ask_id;
	m.as.refuse.pool_id = ask->pool_id;
	m.as.refuse.reason = reason;
	m.as.refuse.retry_after_ms = retry_after_ms;
	cluster_send(((Service *)port)->cluster, ask->node_id, &m);
}

/* Notifies the node that asked that the planner keeps its ask waiting. */
static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask)
{
	schedulers_notify_queued(((Service *)port)->cluster, ask);
}

/* Frees the engine memory of a grant that its node abandoned. */
static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g)
{
	memory_free_abandoned(((Service *)port)->cluster->gate, g);
}

/* A report request that is outstanding: the pool and the engine that it concerns. */
typedef struct {
	Cluster *cluster;
	uint64_t pool_id;
	uint64_t endpoint_id;
	uint64_t asked_us;
} Inspection;

/* Requests an engine's report. Does nothing if the engine takes no work or this node is not the scheduler of
 * the service. */
static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id)
{
	Service *s = (Service *)port;
	Gate *g = s->cluster->gate;
	const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, endpoint_id);
	EndpointRef to;
	Inspection *i;

	if (!e || !bh__registered_endpoint_accepts_requests(e, clock_now_us()) ||
		s->scheduler != bh__members_get_self(s->cluster->members)->node_id)
		return;
	i = g_new0(Inspection, 1);
	i->cluster = s->cluster;
	i->pool_id = bh__planner_get_id(s->planner);
	i->endpoint_id = endpoint_id;
	i->asked_us = clock_now_us();
	to = (EndpointRef){
		.address = e->entry.address, .endpoint_id = e->endpoint_id, .incarnation = e->incarnation};
	g->port->report(g, &to, on_slowdown_, i);
}

/* Takes the slowdown factor of an engine's report (1: as fast as its model; 0: no answer) and frees
 * `inspection`. The pool may be gone by then. */
static void on_slowdown_(void *inspection, double slowdown)
{
	Inspection *i = inspection;
	Service *s = schedulers_find(i->cluster, i->pool_id);

	if (s && slowdown > 0) {
		if (slowdown > 1)
			log_event("engine", "endpoint=%016" G_GINT64_MODIFIER "x pace=%.2f", i->endpoint_id, slowdown);
		bh__planner_process_slowdown(s->planner, i->endpoint_id, slowdown, clock_now_us());
	}
	if (s) {
		bh__planner_process_answer(s->planner, i->endpoint_id, i->asked_us, slowdown > 0, clock_now_us());
		cluster_drain_inbox(i->cluster);
	}
	g_free(i);
}

/* Logs a change to the booked start of a long prompt. */
static void on_booking_(BH__PlannerPort *port, const BH__Ask *ask, BH__BookingEvent event,
						uint64_t start_in_us, uint64_t waited_us)
{
	log_event("booking",
			  "what=%s service=%s ask=%016" G_GINT64_MODIFIER "x prompt_tokens=%" G_GUINT64_FORMAT
			  " start_in_ms=%" G_GUINT64_FORMAT " waited_ms=%" G_GUINT64_FORMAT,
			  BH__BookingEventString[event], ((const Service *)port)->service, ask->ask_id,
			  ask->prompt_tokens, start_in_us / BH__MS_US, waited_us / BH__MS_US);
}
