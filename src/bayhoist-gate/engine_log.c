/* SPDX-License-Identifier: BSD-3-Clause */
/* What a scheduler logs of its engines. */
#include "cluster_internal.h"
#include "log.h"

/* Logs, on the scheduler, the failure of an engine that a node reports, and how many engines are ejected. */
void engine_log_failure(const Cluster *c, const Service *s, const BH__Message *m, uint64_t now_us)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, m->as.release.failed_endpoint);
	const BH__MemberInfo *node = bh__members_find(c->members, m->from_node);

	if (!e || !s->scheduling_since_us)
		return;
	log_event("engine", "what=failed endpoint=%s node=%s kind=%s ejected=%u engines=%u", e->entry.id,
			  node ? node->name : "unknown", BH__ReleaseKindString[m->as.release.kind],
			  bh__planner_count_ejected(s->planner, now_us), bh__planner_get_engine_count(s->planner));
}

/* Logs how the engines of a service are divided, if that has changed much and this node schedules it. */
void engine_log_division(const Service *s, uint64_t now_us)
{
	BH__PlannerDivision d;

	if (!s->scheduling_since_us || !bh__planner_take_division_change(s->planner, now_us))
		return;
	bh__planner_get_division(s->planner, &d);
	log_event("prefill", "service=%s engines=%u set_aside=%u reading=%u tight=%u", s->service, d.engines,
			  d.reserved, d.helping, d.tight);
}
