/* SPDX-License-Identifier: BSD-3-Clause */
/* Enforces rate limits of endpoints across the nodes (bayhoist/endpoint_rate.h). A node reports the limits
 * that answers advertise to the endpoint's home node, which broadcasts them. The home of an engine is its
 * scheduler, whose grants count against the limit. Before a node sends a request to a rate-limited endpoint
 * that is not an engine, it asks the home for a permit. */
#include <string.h>
#include "bayhoist/hash.h"
#include "clock.h"
#include "cluster_internal.h"
#include "log.h"

/* Wait before a node repeats a permit request that went to a node which does not know the endpoint or does
 * not consider itself its home. */
#define HOME_MISMATCH_RETRY_US (100 * BH__MS_US)

static bool is_home_(const Cluster *c, const char *service);
static double home_rate_share_(const Cluster *c, const char *service, uint64_t now_us);
static void process_ask_(Cluster *c, const BH__Message *m, uint64_t now_us);

/* Returns the home node of a service, which counts requests against the limits of the service's endpoints. */
uint64_t limits_find_home(const Cluster *c, const char *service)
{
	const Service *s = g_hash_table_lookup(c->services, service);
	uint64_t node_id = s ? s->scheduler : bh__members_pick(c->members, bh__hash_name(service), NULL);

	return node_id ? node_id : bh__members_get_self(c->members)->node_id;
}

/* Returns true if this node is the home of a service. */
static bool is_home_(const Cluster *c, const char *service)
{
	return limits_find_home(c, service) == bh__members_get_self(c->members)->node_id;
}

/* Returns the share of its endpoints' rate limits, 0 to 1, that this node may grant as the home of a service
 * since `since_us`. */
double limits_get_rate_share(const Cluster *c, uint64_t since_us, uint64_t now_us)
{
	unsigned alive = cluster_count_nodes(c);
	unsigned known = alive;

	for (unsigned i = 1; i < bh__members_get_count(c->members); i++) {
		const BH__MemberInfo *info = bh__members_get(c->members, i);
		known += info->state != BH__MEMBER_ALIVE && !info->leaving;
	}
	return bh__home_rate_share(alive, known, since_us, now_us);
}

/* Returns the rate share of this node for a service that is not scheduled; 0 if this node is not its home. */
static double home_rate_share_(const Cluster *c, const char *service, uint64_t now_us)
{
	const uint64_t *since_us = g_hash_table_lookup(c->home_since, service);

	return since_us ? limits_get_rate_share(c, *since_us, now_us) : 0;
}

/* Updates the set of unscheduled services whose home is this node after a change of membership or
 * configuration. */
void limits_apply_membership(Cluster *c, uint64_t now_us)
{
	const BH__Routing *r = c->gate->routing;

	if (!r || (c->home_members_version == bh__members_get_version(c->members) &&
			   c->home_routing_version == bh__routing_get_version(r)))
		return;
	c->home_members_version = bh__members_get_version(c->members);
	c->home_routing_version = bh__routing_get_version(r);
	for (unsigned i = 0; i < bh__routing_get_service_count(r); i++) {
		const BH__ServiceSpec *spec = bh__routing_get_service(r, i);
		if (spec->is_engine || !is_home_(c, spec->name)) {
			g_hash_table_remove(c->home_since, spec->name);
		}
		else if (!g_hash_table_contains(c->home_since, spec->name)) {
			uint64_t *since_us = g_new(uint64_t, 1);
			*since_us = now_us;
			g_hash_table_insert(c->home_since, g_strdup(spec->name), since_us);
		}
	}
}

/* Asks the home of an endpoint for a permit to send a call to it, to be granted within `max_wait_us`. The
 * answer goes to call_on_permit(), possibly before this function returns. */
void cluster_ask_permit(Cluster *c, Call *call, const BH__RegisteredEndpoint *e, uint64_t max_wait_us)
{
	const BH__MemberInfo *self = bh__members_get_self(c->members);
	CallAdmission *p = call_get_admission(call);
	BH__Message m = {.type = BH__MESSAGE_PERMIT_ASK};

	cluster_drop_ask(c, call);
	p->ask.ask_id = bh__hash_pair(self->boot_id, ++c->last_id);
	p->asked_node = limits_find_home(c, e->entry.service);
	g_hash_table_insert(c->by_ask, &p->ask.ask_id, call);
	m.as.permit_ask.ask_id = p->ask.ask_id;
	m.as.permit_ask.max_wait_us = max_wait_us;
	m.as.permit_ask.limit = bh__signal_update_make(BH__SIGNAL_LIMIT, e, clock_now_us());
	cluster_send(c, p->asked_node, &m);
	cluster_drain_inbox(c);
}

/* Answers a node's permit request, after merging the limit that it carries, which this node may not have
 * received yet. */
static void process_ask_(Cluster *c, const BH__Message *m, uint64_t now_us)
{
	const BH__SignalUpdate *update = &m->as.permit_ask.limit;
	BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, update->endpoint_id);
	BH__Message out = {.type = BH__MESSAGE_PERMIT};

	if (update->in_force)
		bh__signal_relay_merge(c->gate->signal_relay, update, now_us);
	out.as.permit.ask_id = m->as.permit_ask.ask_id;
	if (e) {
		bh__endpoint_rate_set_rate_share(&e->rate, home_rate_share_(c, e->entry.service, now_us), now_us);
		out.as.permit.granted =
			bh__endpoint_rate_reserve(&e->rate, m->as.permit_ask.max_wait_us, now_us, &out.as.permit.wait_us);
	}
	if (!e || out.as.permit.wait_us == BH__LIMIT_NO_END)
		out.as.permit.wait_us = HOME_MISMATCH_RETRY_US;
	cluster_send(c, m->from_node, &out);
}

/* Processes a permit request or its answer. Returns false if the message is of another type. */
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
		g_hash_table_remove(c->by_ask, &call_get_admission(call)->ask.ask_id);
		call_get_admission(call)->ask.ask_id = 0;
		call_on_permit(call, m->as.permit.granted, m->as.permit.wait_us);
		return true;
	default:
		return false;
	}
}

/* Writes, as metrics, the endpoint rate limits that are in force. */
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
