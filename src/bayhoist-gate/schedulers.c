/* SPDX-License-Identifier: BSD-3-Clause */
/* Schedulers of services. The node with the highest rendezvous weight for a service with engines schedules
 * it. The other nodes ask this scheduler on which engines to run a request, notify it of first events and
 * ends, and decide by themselves if it does not answer. Every node has a planner for each service. It tracks
 * the engine use of its own node, and on the scheduler that of all nodes. */
#include <string.h>
#include "bayhoist/hash.h"
#include "clock.h"
#include "cluster_internal.h"
#include "log.h"

#define HOLD_PERIOD_US (2 * BH__SECOND_US) /* period of the hold messages to a scheduler */
/* Time for which a node must have scheduled a service before it records the duty on the platform. The duty
 * moves from node to node while nodes start. */
#define RECORD_AFTER_US BH__SECOND_US

static Service *add_service_(Cluster *c, const char *name);
static void set_engine_(Service *s, const BH__RegisteredEndpoint *e, uint64_t now_us);
static void reassign_asks_(Cluster *c, const Service *s);
static void hand_over_(Cluster *c, Service *s, uint64_t now_us);
static void send_hold_(Cluster *c, const Service *s, GArray *grants, bool full, bool is_complete);
static void on_recorded_(void *service, bool recorded);
static void record_unanswered_(Cluster *c, Service *s, uint64_t node_id);
static void add_hold_(const Service *s, const BH__Grant *grant, uint64_t granted_us, uint64_t now_us,
					  GArray *held);
static void notify_nodes_(Cluster *c, const BH__Grant *g, uint64_t granted_node, const char *service,
						  BH__Message *m);

/* Returns the service whose planner has this id, or NULL. */
Service *schedulers_find(const Cluster *c, uint64_t pool_id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (bh__planner_get_id(((Service *)value)->planner) == pool_id)
			return value;
	return NULL;
}

/* Returns true if a service has engines, so that a scheduler grants them. */
bool schedulers_has_service(const Cluster *c, const char *service)
{
	return g_hash_table_contains(c->services, service);
}

/* Returns the service of this name. Creates it with an empty planner if there is none. */
static Service *add_service_(Cluster *c, const char *name)
{
	Service *s = g_hash_table_lookup(c->services, name);

	if (s)
		return s;
	s = g_new0(Service, 1);
	schedulers_set_port(&s->port);
	s->cluster = c;
	g_strlcpy(s->service, name, sizeof s->service);
	bh__takeover_init(&s->takeover);
	s->planner = bh__planner_new(&s->port, bh__hash_name(name), c->gate->boot_id);
	g_hash_table_insert(c->services, s->service, s);
	return s;
}

/* Frees a Service, as the destroy function of the table of services. */
void schedulers_free_service(gpointer service)
{
	Service *s = service;

	bh__planner_delete(s->planner);
	bh__takeover_clear(&s->takeover);
	g_free(s);
}

/* Resets the response monitors of the services that a node schedules, after any message from this node. */
void schedulers_process_contact(Cluster *c, uint64_t node_id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((Service *)value)->scheduler == node_id)
			bh__response_monitor_reset(&((Service *)value)->scheduler_monitor);
}

/* Applies the configuration: creates a planner for each service with engines and sets its model. */
void cluster_apply_routing(Cluster *c, uint64_t now_us)
{
	const BH__Routing *r = c->gate->routing;

	for (unsigned i = 0; i < bh__routing_get_service_count(r); i++) {
		const BH__ServiceSpec *spec = bh__routing_get_service(r, i);
		if (spec->is_engine)
			bh__planner_set_model(add_service_(c, spec->name)->planner, &spec->engine);
	}
	cluster_apply_registry(c, now_us);
	schedulers_apply_membership(c, now_us);
}

/* Sets a planner's engine to the state of a registered endpoint. Sets the limits first, so that the engine is
 * not used without them. */
static void set_engine_(Service *s, const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	bh__planner_set_limits(s->planner, e->endpoint_id, e->rate.limit, now_us);
	bh__planner_set_endpoint(s->planner, e->endpoint_id, e->incarnation,
							 !bh__registered_endpoint_is_usable(e, now_us), now_us);
}

/* Applies changed rate limits of an engine to its planner. */
void schedulers_apply_limits(Cluster *c, const BH__RegisteredEndpoint *e)
{
	Service *s = g_hash_table_lookup(c->services, e->entry.service);

	if (s)
		bh__planner_set_limits(s->planner, e->endpoint_id, e->rate.limit, clock_now_us());
}

/* Sets the rate limit of cold endpoints of each service to the configured one, and how soon a reader has to
 * notice that an endpoint has become cold. */
void schedulers_apply_cold_rates(Cluster *c, uint64_t now_us)
{
	const BH__Routing *r = c->gate->routing;
	uint64_t notice_us = UINT64_MAX;

	bh__registry_set_node_count(c->gate->registry, cluster_count_nodes(c));
	for (unsigned i = 0; r && i < bh__routing_get_service_count(r); i++) {
		const BH__ServiceSpec *spec = bh__routing_get_service(r, i);
		uint64_t service_us =
			bh__registry_set_cold_rate(c->gate->registry, spec->name, spec->cold_per_s, now_us);
		notice_us = MIN(notice_us, service_us);
	}
	if (c->gate->sync)
		bh__platform_sync_set_notice_time(c->gate->sync, notice_us);
}

/* Sets the share of the engines' rate limits that each planner enforces: that of the home if this node
 * schedules the service and 0 otherwise, so that nodes which decide by themselves send nothing to
 * rate-limited engines. */
void schedulers_apply_rate_shares(Cluster *c, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Service *s = value;
		bh__planner_set_rate_share(
			s->planner, s->scheduling_since_us ? limits_get_rate_share(c, s->scheduling_since_us, now_us) : 0,
			now_us);
	}
}

/* Sets the engines of each planner to the registered endpoints of its service. */
void cluster_apply_registry(Cluster *c, uint64_t now_us)
{
	BH__Registry *registry = c->gate->registry;
	GHashTableIter it;
	gpointer value;

	schedulers_apply_cold_rates(c, now_us);
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Service *s = value;
		for (unsigned i = bh__planner_get_engine_count(s->planner); i-- > 0;) {
			BH__PlannerEngine e;
			bh__planner_get_engine(s->planner, i, &e);
			if (!bh__registry_find(registry, e.endpoint_id))
				bh__planner_remove_endpoint(s->planner, e.endpoint_id, now_us);
		}
		for (unsigned i = 0; i < bh__registry_get_count(registry); i++) {
			const BH__RegisteredEndpoint *e = bh__registry_get(registry, i);
			if (!strcmp(e->entry.service, s->service))
				set_engine_(s, e, now_us);
		}
	}
	cluster_drain_inbox(c);
}

/* Chooses the scheduler of each service from the current members. If this node stops scheduling a service, it
 * hands over the grants and refuses the asks that wait. If it starts, it begins a takeover. */
void schedulers_apply_membership(Cluster *c, uint64_t now_us)
{
	const BH__MemberInfo *self = bh__members_get_self(c->members);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Service *s = value;
		uint64_t old_scheduler = s->scheduler;
		const BH__MemberInfo *info;
		if (c->scheduler_members_version == bh__members_get_version(c->members) && old_scheduler)
			continue;
		s->scheduler = bh__members_pick(c->members, bh__planner_get_id(s->planner), NULL);
		if (!s->scheduler)
			s->scheduler = self->node_id;
		info = bh__members_find(c->members, s->scheduler);
		if (s->scheduler == old_scheduler && info && info->boot_id == s->scheduler_boot)
			continue;
		log_event("scheduler", "service=%s node=%s", s->service, info ? info->name : self->name);
		if (old_scheduler == self->node_id && s->scheduler != old_scheduler) {
			hand_over_(c, s, now_us);
			bh__planner_refuse_all(s->planner, BH__REASON_NODE_LEAVING);
			bh__planner_drop_other_nodes(s->planner, self->node_id, now_us);
		}
		s->scheduling_since_us = s->scheduler == self->node_id ? now_us : 0;
		s->is_recorded = false;
		if (s->scheduler == self->node_id)
			bh__takeover_begin(&s->takeover, now_us);
		else
			bh__takeover_end(&s->takeover);
		bh__response_monitor_reset(&s->scheduler_monitor);
		bh__planner_set_local(s->planner, s->scheduler != self->node_id);
		schedulers_send_holds(c, s, now_us);
		if (old_scheduler && s->scheduler != old_scheduler)
			reassign_asks_(c, s);
	}
	if (c->scheduler_members_version != bh__members_get_version(c->members))
		schedulers_apply_rate_shares(c, now_us);
	c->scheduler_members_version = bh__members_get_version(c->members);
}

/* Records on the platform that this node schedules a service, once it has done so for RECORD_AFTER_US. */
void schedulers_record_duty(Service *s, uint64_t now_us)
{
	Gate *g = s->cluster->gate;

	if (!s->scheduling_since_us || s->is_recorded || now_us < s->scheduling_since_us + RECORD_AFTER_US ||
		g->shutdown.began_us)
		return;
	s->is_recorded = true;
	g->port->record_duty(g, s->service, bh__members_get_self(s->cluster->members), on_recorded_, s);
}

/* Makes this node record its duties again after the platform's store has been rolled back to an older
 * copy. */
void cluster_apply_era(Cluster *c)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((Service *)value)->is_recorded = false;
}

/* Processes the result of a write of the duty. After a failure the write is repeated when RECORD_AFTER_US
 * have passed again. */
static void on_recorded_(void *service, bool recorded)
{
	Service *s = service;

	s->is_recorded = recorded;
	if (!recorded && s->scheduling_since_us)
		s->scheduling_since_us = clock_now_us();
}

/* Makes the calls with a pending ask at another node than the current scheduler ask the current one. */
static void reassign_asks_(Cluster *c, const Service *s)
{
	GList *all = g_hash_table_get_values(c->by_ask);

	for (GList *it = all; it; it = it->next) {
		Call *call = it->data;
		if (g_hash_table_contains(c->gate->calls, call) &&
			!strcmp(call_get_admission(call)->service, s->service) &&
			call_get_admission(call)->asked_node != s->scheduler)
			call_on_scheduler_lost(call);
	}
	g_list_free(all);
}

/* Sends all grants that this node knows of to the next scheduler. */
static void hand_over_(Cluster *c, Service *s, uint64_t now_us)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__Grant));

	bh__planner_list_grants(s->planner, all, now_us);
	log_event("scheduler", "what=handed-over service=%s grants=%u", s->service, all->len);
	send_hold_(c, s, all, true, true);
	g_array_unref(all);
}

/* Sends a list of grants to a service's scheduler: complete grants with `full`, otherwise their ids; with
 * `is_complete` those of all nodes. */
static void send_hold_(Cluster *c, const Service *s, GArray *grants, bool full, bool is_complete)
{
	BH__Message m = {.type = BH__MESSAGE_HOLD};

	m.as.hold.pool_id = bh__planner_get_id(s->planner);
	m.as.hold.full = full;
	m.as.hold.is_complete = is_complete;
	m.as.hold.count = grants->len;
	m.as.hold.grant = (BH__Grant *)(void *)grants->data;
	cluster_send(c, s->scheduler, &m);
}

/* Notifies a service's scheduler of the grants that this node holds. A scheduler that has not received them
 * before gets complete grants, and also an empty list. */
void schedulers_send_holds(Cluster *c, Service *s, uint64_t now_us)
{
	const BH__MemberInfo *info = bh__members_find(c->members, s->scheduler);
	bool is_new = info && info->boot_id != s->scheduler_boot;
	GArray *held = g_array_new(FALSE, FALSE, sizeof(BH__Grant));
	GHashTableIter it;
	gpointer key;

	s->next_hold_us = now_us + HOLD_PERIOD_US;
	g_hash_table_iter_init(&it, c->gate->calls);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const CallAdmission *p = call_get_admission(key);
		add_hold_(s, &p->grant, p->granted_us, now_us, held);
		add_hold_(s, &p->next, now_us, now_us, held);
	}
	s->scheduler_boot = info ? info->boot_id : bh__members_get_self(c->members)->boot_id;
	if (info && s->scheduler != bh__members_get_self(c->members)->node_id &&
		(held->len || s->had_grants || is_new))
		send_hold_(c, s, held, is_new, false);
	s->had_grants = held->len > 0;
	g_array_unref(held);
}

/* Appends a grant to the list, with its age, if it is one of the service. */
static void add_hold_(const Service *s, const BH__Grant *grant, uint64_t granted_us, uint64_t now_us,
					  GArray *held)
{
	BH__Grant g = *grant;

	g.age_us = now_us - MIN(now_us, granted_us);
	if (g.grant_id && g.pool_id == bh__planner_get_id(s->planner))
		g_array_append_val(held, g);
}

/* Processes a hold message: a node's own grants, or those of all nodes from the previous scheduler. */
void schedulers_process_hold(Cluster *c, const BH__Message *m, uint64_t now_us)
{
	Service *s = schedulers_find(c, m->as.hold.pool_id);

	if (!s)
		return;
	bh__planner_process_hold(s->planner, m->from_node, m->from_boot, m->as.hold.full, m->as.hold.grant,
							 m->as.hold.count, now_us);
	bh__takeover_note_report(&s->takeover, m->from_node, m->as.hold.is_complete, now_us);
	schedulers_process_deferred(c, now_us);
}

/* Asks the scheduler of a call's service for engines. The answer goes to the call_on_ functions of call.c,
 * possibly before this function returns. */
void cluster_ask(Cluster *c, Call *call)
{
	CallAdmission *p = call_get_admission(call);
	const BH__MemberInfo *self = bh__members_get_self(c->members);
	Service *s = add_service_(c, p->service);

	cluster_drop_ask(c, call);
	p->ask.ask_id = bh__hash_pair(self->boot_id, ++c->last_id);
	p->ask.pool_id = bh__planner_get_id(s->planner);
	p->ask.node_id = self->node_id;
	p->ask.boot_id = self->boot_id;
	p->asked_node = s->scheduler ? s->scheduler : self->node_id;
	g_hash_table_insert(c->by_ask, &p->ask.ask_id, call);
	cluster_resend_ask(c, call);
}

/* Sends the call's pending ask again. */
void cluster_resend_ask(Cluster *c, Call *call)
{
	CallAdmission *p = call_get_admission(call);
	BH__Message m = {.type = BH__MESSAGE_ASK};

	if (p->asked_node == bh__members_get_self(c->members)->node_id) {
		BH__Ask ask = p->ask;
		schedulers_process_ask(c, &ask, clock_now_us());
		cluster_drain_inbox(c);
		cluster_schedule_waiting_tick(c);
		return;
	}
	m.as.ask = p->ask;
	cluster_send(c, p->asked_node, &m);
}

/* Records that a node left an ask unanswered. A scheduler that leaves several unanswered is suspected at
 * once: the membership probes take seconds, in which all nodes would decide by themselves, each as if no
 * other node used the engines. */
static void record_unanswered_(Cluster *c, Service *s, uint64_t node_id)
{
	const BH__MemberInfo *info = bh__members_find(c->members, node_id);
	uint64_t now_us = clock_now_us();

	if (node_id != s->scheduler || !bh__response_monitor_record_timeout(&s->scheduler_monitor, now_us))
		return;
	log_event("scheduler", "what=unanswered service=%s node=%s", s->service, info ? info->name : "");
	bh__members_process_unreachable(c->members, node_id, now_us);
}

/* Lets this node's own planner answer the call's ask. Withdraws the ask from the node to which it went. */
void cluster_ask_locally(Cluster *c, Call *call)
{
	CallAdmission *p = call_get_admission(call);
	Service *s = add_service_(c, p->service);
	BH__Ask ask = p->ask;

	if (p->asked_node != bh__members_get_self(c->members)->node_id) {
		BH__Message m = {.type = BH__MESSAGE_WITHDRAW};
		record_unanswered_(c, s, p->asked_node);
		m.as.release.pool_id = ask.pool_id;
		m.as.release.grant_id = ask.ask_id;
		cluster_send(c, p->asked_node, &m);
		p->asked_node = bh__members_get_self(c->members)->node_id;
	}
	bh__planner_process_ask(s->planner, &ask, clock_now_us());
	cluster_drain_inbox(c);
	cluster_schedule_waiting_tick(c);
}

/* Drops the call's pending ask, if it has one, and withdraws it from the node to which it went. */
void cluster_drop_ask(Cluster *c, Call *call)
{
	CallAdmission *p = call_get_admission(call);
	BH__Message m = {.type = BH__MESSAGE_WITHDRAW};
	uint64_t ask_id = p->ask.ask_id;

	if (!ask_id || !g_hash_table_remove(c->by_ask, &p->ask.ask_id))
		return;
	m.as.release.pool_id = p->ask.pool_id;
	m.as.release.grant_id = ask_id;
	p->ask.ask_id = 0;
	cluster_send(c, p->asked_node, &m);
	cluster_drain_inbox(c);
}

/* Notifies the scheduler that the first event of the answer has been received. */
void cluster_notify_progress(Cluster *c, Call *call)
{
	CallAdmission *p = call_get_admission(call);

	if (!p->grant.grant_id)
		return;
	p->grant.has_first_event = true;
	notify_nodes_(c, &p->grant, p->granted_node, p->service, &(BH__Message){.type = BH__MESSAGE_PROGRESS});
}

/* Notifies the scheduler that the engine has just ended a long iteration of `iteration_us`, during which the
 * answer paused. */
void cluster_notify_iteration(Cluster *c, Call *call, uint64_t iteration_us)
{
	const CallAdmission *p = call_get_admission(call);
	BH__Message m = {.type = BH__MESSAGE_ITERATION};

	if (!p->grant.has_first_event)
		return;
	m.as.release.iteration_us = iteration_us;
	notify_nodes_(c, &p->grant, p->granted_node, p->service, &m);
}

/* Releases the grant that the call holds, if it holds one. `failed_endpoint` names the endpoint that failed,
 * or is 0. The message includes the remaining backoff of this endpoint. */
void cluster_release(Cluster *c, Call *call, BH__ReleaseKind kind, uint64_t failed_endpoint)
{
	const BH__RegisteredEndpoint *failed = bh__registry_find(c->gate->registry, failed_endpoint);
	CallAdmission *p = call_get_admission(call);
	BH__Message m = {.type = BH__MESSAGE_RELEASE};
	uint64_t now_us = clock_now_us();

	if (!p->grant.grant_id)
		return;
	m.as.release.kind = kind;
	m.as.release.failed_endpoint = failed_endpoint;
	m.as.release.backoff_us =
		failed ? failed->signals.backoff_until_us - MIN(now_us, failed->signals.backoff_until_us) : 0;
	notify_nodes_(c, &p->grant, p->granted_node, p->service, &m);
	memset(&p->grant, 0, sizeof p->grant);
}

/* Releases the grant for the next dispatch, if there is one, unused. */
void cluster_release_next(Cluster *c, Call *call)
{
	CallAdmission *p = call_get_admission(call);
	BH__Message m = {.type = BH__MESSAGE_RELEASE};

	if (!p->next.grant_id)
		return;
	m.as.release.kind = BH__RELEASE_UNUSED;
	notify_nodes_(c, &p->next, p->asked_node, p->service, &m);
	memset(&p->next, 0, sizeof p->next);
}

/* Makes the grant for the next dispatch, if there is one, the one that the call holds. The previous one must
 * have been released. Returns false if there is none. */
bool cluster_use_next(Call *call)
{
	CallAdmission *p = call_get_admission(call);

	if (!p->next.grant_id)
		return false;
	p->grant = p->next;
	p->granted_us = clock_now_us();
	p->granted_node = p->asked_node;
	memset(&p->next, 0, sizeof p->next);
	return true;
}

/* Sends a message on a grant of a service to this node's own planner, the scheduler, and the node that gave
 * the grant. */
static void notify_nodes_(Cluster *c, const BH__Grant *g, uint64_t granted_node, const char *service,
						  BH__Message *m)
{
	Service *s = add_service_(c, service);
	uint64_t self = bh__members_get_self(c->members)->node_id;

	m->as.release.pool_id = g->pool_id;
	m->as.release.grant_id = g->grant_id;
	cluster_send(c, self, m);
	if (s->scheduler != self)
		cluster_send(c, s->scheduler, m);
	if (granted_node != self && granted_node != s->scheduler)
		cluster_send(c, granted_node, m);
	cluster_drain_inbox(c);
}

/* Processes a release, progress, iteration or withdraw message. */
void schedulers_process_release(Cluster *c, const BH__Message *m, uint64_t now_us)
{
	Service *s = schedulers_find(c, m->as.release.pool_id);

	if (m->type == BH__MESSAGE_WITHDRAW)
		schedulers_drop_deferred(c, m->as.release.grant_id);
	if (!s)
		return;
	if (m->type == BH__MESSAGE_RELEASE) {
		if (m->as.release.backoff_us)
			bh__planner_process_backoff(s->planner, m->as.release.failed_endpoint, m->as.release.backoff_us,
										now_us);
		bh__planner_process_release(s->planner, m->as.release.grant_id, m->as.release.kind,
									m->as.release.failed_endpoint, now_us);
		engine_log_failure(c, s, m, now_us);
	}
	else if (m->type == BH__MESSAGE_ITERATION)
		bh__planner_process_iteration(s->planner, m->as.release.grant_id, m->as.release.iteration_us, now_us);
	else if (m->type == BH__MESSAGE_PROGRESS)
		bh__planner_process_progress(s->planner, m->as.release.grant_id, now_us);
	else
		bh__planner_process_withdraw(s->planner, m->as.release.grant_id);
}

/* Passes a grant to the call that asked for it. Releases a grant for which no call waits. */
void schedulers_process_grant(Cluster *c, const BH__Grant *g, uint64_t from_node)
{
	Call *call = g_hash_table_lookup(c->by_ask, &g->ask_id);
	Service *s = schedulers_find(c, g->pool_id);
	CallAdmission *p;

	if (!call) {
		BH__Message m = {.type = BH__MESSAGE_RELEASE};
		m.as.release.pool_id = g->pool_id;
		m.as.release.grant_id = g->grant_id;
		m.as.release.kind = BH__RELEASE_UNUSED;
		cluster_send(c, from_node, &m);
		return;
	}
	p = call_get_admission(call);
	g_hash_table_remove(c->by_ask, &p->ask.ask_id);
	p->ask.ask_id = 0;
	p->asked_node = from_node;
	p->next = *g;
	if (!p->grant.grant_id)
		cluster_use_next(call);
	if (s)
		bh__planner_process_remote_grant(s->planner, g, clock_now_us());
	call_on_grant(call);
}

/* Passes a refusal to the call that asked, if it still waits. */
void schedulers_process_refusal(Cluster *c, uint64_t ask_id, BH__Reason reason, uint64_t retry_after_ms)
{
	Call *call = g_hash_table_lookup(c->by_ask, &ask_id);

	if (!call)
		return;
	g_hash_table_remove(c->by_ask, &call_get_admission(call)->ask.ask_id);
	call_get_admission(call)->ask.ask_id = 0;
	call_on_refuse(call, reason, retry_after_ms);
}
