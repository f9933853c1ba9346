/* SPDX-License-Identifier: BSD-3-Clause */
/* Reports the endpoints that this node knows to operators, in log lines and as a JSON document. */
#include "gate.h"

#include <json-c/json.h>
#include "bayhoist/last_endpoints.h"
#include "clock.h"

static struct json_object *describe_(const Gate *g, const BH__RegisteredEndpoint *e, uint64_t now_us);
static int64_t left_ms_(uint64_t until_us, uint64_t now_us);

/* Returns the state of an endpoint for new requests of this node: "used" if it is listed and accepts them,
 * "leaving", "drained" if its data hall drains, "silent" while it is avoided for its silence, or "gone" if
 * its entry has been removed. */
const char *endpoints_get_state(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	if (e->entry.draining)
		return "leaving";
	if (e->is_hall_draining)
		return "drained";
	if (now_us < e->silence.until_us)
		return "silent";
	return bh__registered_endpoint_is_active(e, now_us) ? "used" : "gone";
}

/* Returns a JSON description of the endpoints that this node knows, for operators. The caller frees it with
 * json_object_put(). */
struct json_object *endpoints_describe(const Gate *g)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	uint64_t now_us = clock_now_us();

	for (unsigned i = 0; i < bh__registry_get_count(g->registry); i++)
		json_object_array_add(list, describe_(g, bh__registry_get(g->registry, i), now_us));
	json_object_object_add(root, "endpoints", list);
	return root;
}

/* Returns a JSON description of an endpoint. Durations are in ms and the limit is in requests per second. */
static struct json_object *describe_(const Gate *g, const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "id", json_object_new_string(e->entry.id));
	json_object_object_add(o, "service", json_object_new_string(e->entry.service));
	json_object_object_add(o, "hall", json_object_new_string(e->entry.hall));
	json_object_object_add(o, "state", json_object_new_string(endpoints_get_state(e, now_us)));
	json_object_object_add(
		o, "last_use_ms",
		json_object_new_int64(left_ms_(bh__last_endpoints_get_until_us(g->registry, e), now_us)));
	json_object_object_add(o, "backoff_ms",
						   json_object_new_int64(left_ms_(e->signals.backoff_until_us, now_us)));
	json_object_object_add(o, "overloaded_ms",
						   json_object_new_int64(left_ms_(e->signals.overloaded_until_us, now_us)));
	json_object_object_add(o, "limit_per_s",
						   json_object_new_double(bh__endpoint_rate_get_per_s(&e->rate, now_us)));
	json_object_object_add(o, "cold_ms", json_object_new_int64(left_ms_(e->entry.cold_until_us, now_us)));
	json_object_object_add(o, "requests", json_object_new_int64(e->in_flight));
	return o;
}

/* Returns the time left until `until_us` in ms, 0 if it has passed. */
static int64_t left_ms_(uint64_t until_us, uint64_t now_us)
{
	return (int64_t)((until_us - MIN(now_us, until_us)) / BH__MS_US);
}
