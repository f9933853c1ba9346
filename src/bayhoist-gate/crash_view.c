/* SPDX-License-Identifier: BSD-3-Clause */
/* What operators see of quarantined and suspected subjects: a list as JSON, and metrics. */
#include "crashes.h"

#include "clock.h"

static struct json_object *describe_entry_(const Gate *g, const BH__QuarantineEntry *e);
static GArray *list_(const Gate *g);

/* Returns a quarantine entry as a JSON object. */
static struct json_object *describe_entry_(const Gate *g, const BH__QuarantineEntry *e)
{
	const BH__Quarantine *q = bh__crash_watch_get_quarantine(crashes_get_watch(g->crashes));
	uint64_t held_us = bh__quarantine_get_held_us(q, &e->fingerprint, clock_now_us());
	struct json_object *o = json_object_new_object();
	struct json_object *endpoints = json_object_new_array();
	char *ids = crashes_list_endpoints(g, e);
	char **all = g_strsplit(ids, ",", -1);
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];

	bh__fingerprint_write(&e->fingerprint, fingerprint);
	for (char **id = all; *id; id++)
		json_object_array_add(endpoints, json_object_new_string(*id));
	json_object_object_add(o, "kind", json_object_new_string(BH__SubjectKindString[e->kind]));
	json_object_object_add(o, "fingerprint", json_object_new_string(fingerprint));
	json_object_object_add(o, "state", json_object_new_string(BH__QuarantineStateString[e->state]));
	json_object_object_add(o, "crashes", json_object_new_double((double)e->weight / BH__CRASH_WEIGHT));
	json_object_object_add(o, "times_held", json_object_new_int64(e->times_held));
	json_object_object_add(o, "tied", json_object_new_int64(e->tie_size));
	json_object_object_add(o, "held_s", json_object_new_int64((int64_t)(held_us / BH__SECOND_US)));
	json_object_object_add(o, "endpoints", endpoints);
	g_strfreev(all);
	g_free(ids);
	return o;
}

/* Returns all quarantine entries (BH__QuarantineEntry) of this node; the caller frees them with
 * g_array_unref(). */
static GArray *list_(const Gate *g)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	bh__quarantine_list(bh__crash_watch_get_quarantine(crashes_get_watch(g->crashes)), false, all);
	return all;
}

/* Returns this node's view of suspected and quarantined subjects as JSON, for operators. The caller frees it
 * with json_object_put(). */
struct json_object *crash_view_describe(const Gate *g)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	GArray *all = list_(g);

	for (guint i = 0; i < all->len; i++)
		json_object_array_add(list, describe_entry_(g, &g_array_index(all, BH__QuarantineEntry, i)));
	g_array_unref(all);
	json_object_object_add(root, "requests", list);
	return root;
}

/* Writes the numbers of subjects by kind and state and the counters of crash detection, as metrics. */
void crash_view_write_status(const Gate *g, struct evbuffer *out)
{
	const BH__CrashWatch *w = crashes_get_watch(g->crashes);
	const BH__QuarantineCounters *k = bh__quarantine_get_counters(bh__crash_watch_get_quarantine(w));
	unsigned count[BH__QUARANTINE_STATE_COUNT] = {0};
	unsigned held[BH__SUBJECT_KIND_COUNT] = {0};
	GArray *all = list_(g);

	for (guint i = 0; i < all->len; i++) {
		const BH__QuarantineEntry *e = &g_array_index(all, BH__QuarantineEntry, i);
		count[e->state]++;
		held[e->kind] += e->state == BH__QUARANTINE_HELD;
	}
	g_array_unref(all);
	for (int i = 0; i < BH__QUARANTINE_STATE_COUNT; i++)
		evbuffer_add_printf(out, "bayhoist_quarantine{state=\"%s\"} %u\n", BH__QuarantineStateString[i],
							count[i]);
	for (int i = 0; i < BH__SUBJECT_KIND_COUNT; i++)
		evbuffer_add_printf(out,
							"bayhoist_quarantine_held{kind=\"%s\"} %u\n"
							"bayhoist_quarantine_refusals_total{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
							BH__SubjectKindString[i], held[i], BH__SubjectKindString[i], k->refusals[i]);
	evbuffer_add_printf(out,
						"bayhoist_quarantine_held_total %" G_GUINT64_FORMAT "\n"
						"bayhoist_quarantine_cleared_total %" G_GUINT64_FORMAT "\n"
						"bayhoist_crashes_judged_total %" G_GUINT64_FORMAT "\n",
						k->held, k->cleared, bh__crash_watch_get_evaluated(w));
}
