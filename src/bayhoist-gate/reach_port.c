/* SPDX-License-Identifier: BSD-3-Clause */
/* What the cooperation of the nodes does about that which the layer below tells of endpoints and of the ways
 * to them, and how it answers that layer (reach.h). */
#include "reach.h"

#include "clock.h"
#include "cluster_internal.h"

typedef struct {
	ReachPort port; /* first member: callbacks cast it to the enclosing structure */
	Gate *gate;
} GateReach;

/* Each does what reach.h says of the callback of its name. */
static void on_failed_(ReachPort *port, const char *service, uint64_t endpoint_id);
static void on_withdraw_(ReachPort *port, uint64_t node_id);
static void on_node_gone_(ReachPort *port, uint64_t node_id);
static void on_paths_changed_(ReachPort *port, uint64_t now_us);
static void on_endpoints_changed_(ReachPort *port);
static void on_limited_(ReachPort *port, const BH__RegisteredEndpoint *e);
static void send_(ReachPort *port, uint64_t node_id, BH__Message *m);
static uint64_t find_home_(ReachPort *port, const char *service);
static bool has_scheduler_(ReachPort *port, const char *service);

static const ReachPort Port_ = {.failed = on_failed_,
								.withdraw = on_withdraw_,
								.node_gone = on_node_gone_,
								.paths_changed = on_paths_changed_,
								.endpoints_changed = on_endpoints_changed_,
								.limited = on_limited_,
								.send = send_,
								.find_home = find_home_,
								.has_scheduler = has_scheduler_};

/* Returns the port. It is used once the cluster has been started. */
ReachPort *reach_port_new(Gate *g)
{
	GateReach *r = g_new0(GateReach, 1);

	r->port = Port_;
	r->gate = g;
	return &r->port;
}

/* Frees a port, which may be NULL. */
void reach_port_delete(ReachPort *port)
{
	g_free(port);
}

static Cluster *cluster_(ReachPort *port)
{
	return ((GateReach *)port)->gate->cluster;
}

/* Reports a failure of an engine to this node's own planner and to the scheduler. */
static void on_failed_(ReachPort *port, const char *service, uint64_t endpoint_id)
{
	Cluster *c = cluster_(port);
	const Service *s = g_hash_table_lookup(c->services, service);
	uint64_t self = bh__members_get_self(c->members)->node_id;
	BH__Message m = {.type = BH__MESSAGE_RELEASE};

	if (!s)
		return;
	m.as.release.pool_id = bh__planner_get_id(s->planner);
	m.as.release.kind = BH__RELEASE_FAILED;
	m.as.release.failed_endpoint = endpoint_id;
	cluster_send(c, self, &m);
	if (s->scheduler != self)
		cluster_send(c, s->scheduler, &m);
	cluster_drain_inbox(c);
}

/* Takes back, in all planners, the failures that a node has reported. */
static void on_withdraw_(ReachPort *port, uint64_t node_id)
{
	Cluster *c = cluster_(port);
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		bh__planner_withdraw_failures(((Service *)service)->planner, node_id, clock_now_us());
	cluster_drain_inbox(c);
}

static void on_node_gone_(ReachPort *port, uint64_t node_id)
{
	cluster_process_node_gone(cluster_(port), node_id);
}

/* Has the planners use the endpoints to which there is a way, and no others. */
static void on_paths_changed_(ReachPort *port, uint64_t now_us)
{
	cluster_apply_registry(cluster_(port), now_us);
}

static void on_endpoints_changed_(ReachPort *port)
{
	gate_note_registry(((GateReach *)port)->gate, 0);
}

static void on_limited_(ReachPort *port, const BH__RegisteredEndpoint *e)
{
	schedulers_apply_limits(cluster_(port), e);
}

static void send_(ReachPort *port, uint64_t node_id, BH__Message *m)
{
	cluster_send(cluster_(port), node_id, m);
}

static uint64_t find_home_(ReachPort *port, const char *service)
{
	return limits_find_home(cluster_(port), service);
}

static bool has_scheduler_(ReachPort *port, const char *service)
{
	return schedulers_has_service(cluster_(port), service);
}
