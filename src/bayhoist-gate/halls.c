/* SPDX-License-Identifier: BSD-3-Clause */
/* Reports data halls that drain to operators: a log line at each change, metrics, and a JSON document. */
#include "gate.h"

#include <json-c/json.h>
#include <string.h>
#include "clock.h"
#include "log.h"

static unsigned count_requests_(const Gate *g, const char *hall);

/* Logs the state of every known hall if the registry's halls have changed since the previous call. */
void halls_log_changes(Gate *g)
{
	char store_version[BH__STORE_VERSION_TEXT_LEN];

	if (g->halls_version_logged == bh__registry_get_halls_version(g->registry))
		return;
	g->halls_version_logged = bh__registry_get_halls_version(g->registry);
	for (unsigned i = 0; i < bh__registry_get_hall_count(g->registry); i++) {
		const BH__HallDrain *d = bh__registry_get_hall(g->registry, i);
		log_event("hall", "hall=%s what=%s since=%s requests=%u", d->name, d->draining ? "drains" : "in-use",
				  bh__store_version_write(d->changed, store_version), count_requests_(g, d->name));
	}
}

/* Returns the number of this node's requests that run on endpoints of a hall. */
static unsigned count_requests_(const Gate *g, const char *hall)
{
	unsigned count = 0;

	for (unsigned i = 0; i < bh__registry_get_count(g->registry); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(g->registry, i);
		if (!strcmp(e->entry.hall, hall))
			count += e->in_flight;
	}
	return count;
}

/* Returns a JSON description of the halls that have been drained, including those that are in use again. The
 * caller frees it with json_object_put(). */
struct json_object *halls_describe(const Gate *g)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	uint64_t now_us = clock_now_us();

	for (unsigned i = 0; i < bh__registry_get_hall_count(g->registry); i++) {
		const BH__HallDrain *d = bh__registry_get_hall(g->registry, i);
		struct json_object *o = json_object_new_object();
		json_object_object_add(o, "hall", json_object_new_string(d->name));
		json_object_object_add(o, "draining", json_object_new_boolean(d->draining));
		json_object_object_add(o, "era", json_object_new_int64((int64_t)d->changed.era));
		json_object_object_add(o, "revision", json_object_new_int64((int64_t)d->changed.revision));
		json_object_object_add(
			o, "known_ms", json_object_new_int64((int64_t)((now_us - MIN(now_us, d->since_us)) / BH__MS_US)));
		json_object_object_add(o, "requests", json_object_new_int64(count_requests_(g, d->name)));
		json_object_array_add(list, o);
	}
	json_object_object_add(root, "halls", list);
	return root;
}

/* Writes, as metrics, whether each hall drains, how long this node has known its state, and how many of this
 * node's requests still run there. */
void halls_write_status(const Gate *g, struct evbuffer *out)
{
	uint64_t now_us = clock_now_us();

	for (unsigned i = 0; i < bh__registry_get_hall_count(g->registry); i++) {
		const BH__HallDrain *d = bh__registry_get_hall(g->registry, i);
		evbuffer_add_printf(out,
							"bayhoist_hall_draining{hall=\"%s\"} %d\n"
							"bayhoist_hall_known_ms{hall=\"%s\"} %" G_GUINT64_FORMAT "\n"
							"bayhoist_hall_requests{hall=\"%s\"} %u\n",
							d->name, d->draining, d->name, (now_us - MIN(now_us, d->since_us)) / BH__MS_US,
							d->name, count_requests_(g, d->name));
	}
}
