/* SPDX-License-Identifier: BSD-3-Clause */
/* The booked starts of long prompts, as operators see them. */
#include <json-c/json.h>
#include "clock.h"
#include "cluster_internal.h"

static void describe_service_(const Service *s, uint64_t now_us, struct json_object *out);

/* Returns the booked starts of the services that this node schedules, as JSON. */
struct json_object *bookings_describe(const Gate *g)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, g->cluster->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		describe_service_(service, clock_now_us(), list);
	json_object_object_add(root, "bookings", list);
	return root;
}

/* Appends the booked starts of one service to `out`. */
static void describe_service_(const Service *s, uint64_t now_us, struct json_object *out)
{
	BH__BookingInfo b;

	for (unsigned i = 0; bh__planner_get_booking(s->planner, i, &b); i++) {
		struct json_object *o = json_object_new_object();
		bool has_start = b.start_us != UINT64_MAX;
		json_object_object_add(o, "service", json_object_new_string(s->service));
		json_object_object_add(o, "prompt_tokens", json_object_new_int64((int64_t)b.prompt_tokens));
		json_object_object_add(o, "waited_ms",
							   json_object_new_int64((int64_t)((now_us - b.arrived_us) / BH__MS_US)));
		json_object_object_add(o, "state",
							   json_object_new_string(b.is_away   ? "away"
													  : has_start ? "booked"
																  : "no-start"));
		json_object_object_add(
			o, "in_ms",
			json_object_new_int64(has_start ? (int64_t)((b.start_us - MIN(b.start_us, now_us)) / BH__MS_US)
											: 0));
		json_object_array_add(out, o);
	}
}
