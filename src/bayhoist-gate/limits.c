/* SPDX-License-Identifier: BSD-3-Clause */
/* Limits of endpoints among the nodes (bayhoist/endpoint_rate.h). What answers say of them goes to the
 * endpoint's home, and from there to all. The home of an engine is its scheduler, whose grants count; before
 * a request goes to another endpoint that is limited, its home is asked for leave. */
#include <string.h>
#include "bayhoist/hash.h"
#include "clock.h"
#include "cluster_internal.h"
#include "log.h"

/* When a node may ask again that took another for home than that one itself. */
#define OTHER_HOME_WAIT_US (100 * BH__MS_US)

static bool is_home_(const Cluster *c, const char *service);
static double home_part_(const Cluster *c, const char *service, uint64_t now_us);
static void process_ask_(Cluster *c, const BH__Message *m, uint64_t now_us);

/* Returns the node that counts for the endpoints of a service. */
uint64_t limits_find_home(const Cluster *c, const char *service)
{
	const Service *s = g_hash_table_lookup(c->services, service);
	uint64_t node_id = s ? s->scheduler : bh__members_pick(c->members, bh__hash_name(service), NULL);

	return node_id ? node_id : bh__members_get_self(c->members)->node_id;
}

static bool is_home_(const Cluster *c, const char *service)
{
	return limits_find_home(c, service) == bh__members_get_self(c->members)->node_id;
}

/* Returns the part of its endpoints' limits that this node counts for as home of a service since a time. */
double limits_get_part(const Cluster *c, uint64_t since_us, uint64_t now_us)
{
	unsigned alive = cluster_count_nodes(c);
	unsigned known = alive;

	for (unsigned i = 1; i < bh__members_get_count(c->members); i++) {
		const BH__MemberInfo *info = bh__members_get(c->members, i);
		known += info->state != BH__MEMBER_ALIVE && !info->leaving;
	}
	return bh__home_rate_share(alive, known, since_us, now_us);
}

/* The same for a service that nobody schedules; 0 if this node is not its home. */
static double home_part_(const Cluster *c, const char *service, uint64_t now_us)
{
	const uint64_t *since_us = g_hash_table_lookup(c->homes, service);

	return since_us ? limits_get_part(c, *since_us, now_us) : 0;
}

/* Follows membership and the configuration: since when this node is home of which service. */
void limits_follow(Cluster *c, uint64_t now_us)
{
	const BH__Routing *r = c->gate->routing;

	if (!r || (c->homes_members == bh__members_get_version(c->members) &&
			   c->homes_routing == bh__routing_get_version(r)))
		return;
	c->homes_members = bh__members_get_version(c->members);
	c->homes_routing = bh__routing_get_version(r);
	for (unsigned i = 0; i < bh__routing_get_service_count(r); i++) {
		const BH__ServiceSpec *spec = bh__routing_get_service(r, i);
		if (spec->is_engine || !is_home_(c, spec->name)) {
			g_hash_table_remove(c->homes, spec->name);
		}
		else if (!g_hash_table_contains(c->homes, spec->name)) {
			uint64_t *since_us = g_new(uint64_t, 1);
			*since_us = now_us;
			g_hash_table_insert(c->homes, g_strdup(spec->name), since_us);
		}
	}
}

/* Asks the home of a call's endpoint for leave to send to it, within `max_wait_us`. The answer comes to
 * call.c, maybe before this returns. */
void cluster_ask_permit(Cluster *c, Call *call, const BH__RegisteredEndpoint *e, uint64_t max_wait_us)
{
	const BH__MemberInfo *self = bh__members_get_self(c->members);
	CallPlace *p = call_get_place(call);
	BH__Message m = {.type = BH__MESSAGE_PERMIT_ASK};

	cluster_drop_ask(c, call);
	p->ask.ask_id = bh__hash_pair(self->boot_id, ++c->next_id);
	p->asked_node = limits_find_home(c, e->entry.service);
	g_hash_table_insert(c->by_ask, &p->ask.ask_id, call);
	m.as.permit_ask.ask_id = p->ask.ask_id;
	m.as.permit_ask.max_wait_us = max_wait_us;
	m.as.permit_ask.limit = bh__signal_update_make(BH__SIGNAL_LIMIT, e, clock_now_us());
	cluster_send(c, p->asked_node, &m);
	cluster_drain_inbox(c);
}

/* A node asks for leave to send. It may know of a limit of which this one does not. */
static void process_ask_(Cluster *c, const BH__Message *m, uint64_t now_us)
{
	const BH__SignalUpdate *n = &m->as.permit_ask.limit;
	BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, n->endpoint_id);
	BH__Message out = {.type = BH__MESSAGE_PERMIT};

	if (n->in_force)
		bh__signal_relay_merge(c->signals->relay, n, now_us);
	out.as.permit.ask_id = m->as.permit_ask.ask_id;
	if (e) {
		bh__endpoint_rate_set_rate_share(&e->rate, home_part_(c, e->entry.service, now_us), now_us);
		out.as.permit.granted =
			bh__endpoint_rate_reserve(&e->rate, m->as.permit_ask.max_wait_us, now_us, &out.as.permit.wait_us);
	}
	if (!e || out.as.permit.wait_us == BH__LIMIT_NO_END)
		out.as.permit.wait_us = OTHER_HOME_WAIT_US;
	cluster_send(c, m->from_node, &out);
}

/* Takes a message that has to do with limits. Returns false if it is another. */
bool limits_process_message(Cluster *c, const BH__Message *m, uint64_t now_us)
{
	Call *call;

	switch (m->type) {
	case BH__MESSAGE_PERMIT_ASK:
		process_ask_(c, m, now_us);
		return true;
	case BH__MESSAGE_PERMIT:
		call = g_hash_table_lookup(c->by_ask, &m->as.permit.ask_id);
		if (!call)
			return true;
		g_hash_table_remove(c->by_ask, &call_get_place(call)->ask.ask_id);
		call_get_place(call)->ask.ask_id = 0;
		call_on_permit(call, m->as.permit.granted, m->as.permit.wait_us);
		return true;
	default:
		return false;
	}
}

/* Writes the limits that are in force, as metrics. */
void limits_write_status(const Cluster *c, struct evbuffer *out)
{
	uint64_t now_us = clock_now_us();

	for (unsigned i = 0; i < bh__registry_get_count(c->gate->registry); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(c->gate->registry, i);
		if (bh__endpoint_rate_is_limited(&e->rate, now_us))
			evbuffer_add_printf(out, "bayhoist_endpoint_limit_per_s{endpoint=\"%s\",home=\"%s\"} %.3f\n",
								e->entry.id, is_home_(c, e->entry.service) ? "yes" : "no",
								bh__endpoint_rate_get_per_s(&e->rate, now_us));
	}
}
