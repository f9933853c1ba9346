/* SPDX-License-Identifier: BSD-3-Clause */
/* The metrics of the cluster: nodes, traffic between them, rate limits, and the planners with their engines.
 */
#include "clock.h"
#include "cluster_internal.h"

static void write_planner_(const Service *s, struct evbuffer *out);
static void write_engine_(const Service *s, const BH__PlannerEngine *e, uint64_t now_us,
						  struct evbuffer *out);

/* Writes, as metrics, the number of nodes, the peer traffic, the rate limits in force, and the state of the
 * planners and their engines as this node sees it. */
void cluster_write_status(const Cluster *c, struct evbuffer *out)
{
	const PeersCounters *p = peers_get_counters(c->peers);
	GHashTableIter it;
	gpointer service;

	evbuffer_add_printf(out, "bayhoist_nodes %u\n", cluster_count_nodes(c));
	evbuffer_add_printf(out, "bayhoist_peer_bytes{direction=\"out\"} %" G_GUINT64_FORMAT "\n", p->bytes_out);
	evbuffer_add_printf(out, "bayhoist_peer_bytes{direction=\"in\"} %" G_GUINT64_FORMAT "\n", p->bytes_in);
	for (int t = 0; t < BH__MESSAGE_TYPE_COUNT; t++)
		if (p->type_messages_out[t])
			evbuffer_add_printf(out,
								"bayhoist_peer_type_bytes{type=\"%s\"} %" G_GUINT64_FORMAT "\n"
								"bayhoist_peer_type_messages{type=\"%s\"} %" G_GUINT64_FORMAT "\n",
								BH__MessageTypeString[t], p->type_bytes_out[t], BH__MessageTypeString[t],
								p->type_messages_out[t]);
	limits_write_status(c, out);
	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		write_planner_(service, out);
}

/* Returns how the engines of each service are divided between tight streams and long prompts, as this node
 * sees it. */
struct json_object *cluster_describe_division(const Gate *g)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, g->cluster->services);
	while (g_hash_table_iter_next(&it, NULL, &service)) {
		const Service *s = service;
		struct json_object *o = json_object_new_object();
		BH__PlannerDivision d;
		bh__planner_get_division(s->planner, &d);
		json_object_object_add(o, "service", json_object_new_string(s->service));
		json_object_object_add(o, "schedules", json_object_new_boolean(s->scheduling_since_us > 0));
		json_object_object_add(o, "engines", json_object_new_int64(d.engines));
		json_object_object_add(o, "set_aside", json_object_new_int64(d.reserved));
		json_object_object_add(o, "reading", json_object_new_int64(d.helping));
		json_object_object_add(o, "tight", json_object_new_int64(d.tight));
		json_object_array_add(list, o);
	}
	json_object_object_add(root, "services", list);
	return root;
}

/* Writes the counters of a service's planner and the state of its engines. */
static void write_planner_(const Service *s, struct evbuffer *out)
{
	const BH__PlannerCounters *k = bh__planner_get_counters(s->planner);
	BH__PlannerDivision d;
	const BH__BookingCounters *b = bh__planner_get_booking_counters(s->planner);
	uint64_t now_us = clock_now_us();
	const struct {
		const char *what;
		uint64_t value;
	} counts[] = {{"grants", k->grants},
				  {"helped", k->helped},
				  {"queued", k->queued},
				  {"refusals", k->refusals},
				  {"late", k->late},
				  {"ejections", k->ejections},
				  {"last_resorts", k->last_resorts},
				  {"account_refusals", k->account_refusals},
				  {"bookings", bh__planner_count_bookings(s->planner)},
				  {"booked", b->booked},
				  {"booking_moved", b->moved},
				  {"booking_kept", b->kept},
				  {"booking_missed", b->missed},
				  {"booking_withdrawn", b->withdrawn},
				  {"booking_returned", b->returned}};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		evbuffer_add_printf(out, "bayhoist_planner{service=\"%s\",what=\"%s\"} %" G_GUINT64_FORMAT "\n",
							s->service, counts[i].what, counts[i].value);
	bh__planner_get_division(s->planner, &d);
	evbuffer_add_printf(out,
						"bayhoist_prefill{service=\"%s\",what=\"engines\"} %u\n"
						"bayhoist_prefill{service=\"%s\",what=\"set_aside\"} %u\n"
						"bayhoist_prefill{service=\"%s\",what=\"reading\"} %u\n"
						"bayhoist_prefill{service=\"%s\",what=\"tight\"} %u\n",
						s->service, d.engines, s->service, d.reserved, s->service, d.helping, s->service,
						d.tight);
	for (unsigned i = 0; i < bh__planner_get_engine_count(s->planner); i++) {
		BH__PlannerEngine e;
		bh__planner_get_engine(s->planner, i, &e);
		write_engine_(s, &e, now_us, out);
	}
}

/* Writes the state of one engine. */
static void write_engine_(const Service *s, const BH__PlannerEngine *e, uint64_t now_us, struct evbuffer *out)
{
	double ejected_ms = (double)(e->ejected_until_us - MIN(now_us, e->ejected_until_us)) / BH__MS_US;
	const struct {
		const char *what;
		double value;
		int decimals;
	} values[] = {{"homes", e->primaries, 0},
				  {"unread_ms", e->prefill_left_ms, 0},
				  {"pace", e->slowdown, 2},
				  {"ejected_ms", ejected_ms, 0}};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		evbuffer_add_printf(
			out, "bayhoist_engine{service=\"%s\",endpoint=\"%" G_GINT64_MODIFIER "x\",what=\"%s\"} %.*f\n",
			s->service, e->endpoint_id, values[i].what, values[i].decimals, values[i].value);
}
