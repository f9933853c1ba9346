/* SPDX-License-Identifier: BSD-3-Clause */
/* Failures of engines that nodes report to the scheduler apart from the release of a grant, and take back. */
#include "clock.h"
#include "cluster_internal.h"
#include "log.h"

/* Reports a failure of an engine, apart from the release of a grant, to this node's own planner and to the
 * scheduler. */
void cluster_report_failure(Cluster *c, const char *service, uint64_t endpoint_id)
{
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

/* Takes back, in all planners, the failures that a node reported before it knew that its own links were cut.
 */
void cluster_withdraw_failures(Cluster *c, uint64_t node_id)
{
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		bh__planner_withdraw_failures(((Service *)service)->planner, node_id, clock_now_us());
	cluster_drain_inbox(c);
}

/* Logs, on the scheduler, the failure of an engine that a node reports, and how many engines are ejected. */
void engine_failures_log(const Cluster *c, const Service *s, const BH__Message *m, uint64_t now_us)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, m->as.release.failed_endpoint);
	const BH__MemberInfo *node = bh__members_find(c->members, m->from_node);

	if (!e || !s->scheduling_since_us)
		return;
	log_event("engine", "what=failed endpoint=%s node=%s kind=%s ejected=%u engines=%u", e->entry.id,
			  node ? node->name : "unknown", BH__ReleaseKindString[m->as.release.kind],
			  bh__planner_count_ejected(s->planner, now_us), bh__planner_get_engine_count(s->planner));
}
