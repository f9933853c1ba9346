/* SPDX-License-Identifier: BSD-3-Clause */
/* Binds the library's belief about the paths between halls (hall_paths.h) to the gateway: connections to
 * nodes of a hall as probes, reports to all nodes, and what follows for the endpoints of a hall without a
 * way. */
#include "hall_paths.h"

#include <string.h>
#include "channel.h"
#include "clock.h"
#include "links.h"
#include "log.h"
#include "reach.h"

#define PROBES_MAX 16     /* at the same time */
#define ENDPOINT_PROBES 3 /* one in so many probes goes to an endpoint */
/* What the nodes of a hall without a way hold of engines is freed after this time, as that of dead nodes is.
 */
#define GONE_US (2 * BH__SECOND_US)
/* Bounds of the time for which a probe may be pending: several round trips, and less than the kernel takes to
 * send a lost packet again. */
#define PROBE_MIN_US (60 * BH__MS_US)
#define PROBE_MAX_US (200 * BH__MS_US)

/* A connection to a node or an endpoint that is closed at once. */
typedef struct {
	HallPaths *paths;
	Channel *channel;
	char hall[BH__NAME_LEN];
	uint64_t target;
} Probe;

/* What has been done about a hall. */
typedef enum { KNOWN_OPEN, KNOWN_LOST, KNOWN_GONE } Known;

struct HallPaths {
	Gate *gate;
	BH__HallPaths *state;
	GHashTable *probes; /* set of Probe */
	GHashTable *known;  /* hall -> Known */
	uint64_t version;   /* of `state`, as applied */
	uint64_t registry_version;
	uint64_t members_version;
	uint64_t lost_total; /* paths that were lost since the start */
	uint64_t probes_total;
	GRand *rand;
};

static void make_probes_(HallPaths *p);
static bool find_target_(const HallPaths *p, const char *hall, uint64_t *target, const char **address);
static bool draw_node_(const HallPaths *p, const char *hall, BH__MemberState worst, uint64_t *target,
					   const char **address);
static bool draw_endpoint_(const HallPaths *p, const char *hall, uint64_t *target, const char **address);
static void on_open_(void *ctx, Channel *c);
static void on_data_(void *ctx, Channel *c, struct evbuffer *data);
static void on_end_(void *ctx, Channel *c, ChannelEnd end);
static void finish_(Probe *probe, bool reached);
static void send_reports_(HallPaths *p, uint64_t now_us);
static void tell_halls_(HallPaths *p);
static void process_change_(HallPaths *p, uint64_t now_us);
static void note_change_(HallPaths *p, const BH__PathInfo *info, uint64_t now_us);
static void withdraw_failures_(HallPaths *p, const char *hall);
static void free_grants_(HallPaths *p, uint64_t now_us);
static void apply_to_endpoints_(HallPaths *p, uint64_t now_us);
static const char *get_hall_(const HallPaths *p, uint64_t endpoint_id);

static const ChannelCallbacks Callbacks_ = {.on_open = on_open_, .on_data = on_data_, .on_end = on_end_};

/* The cluster must have been started; membership uses the belief from then on. */
HallPaths *hall_paths_new(Gate *g)
{
	HallPaths *p = g_new0(HallPaths, 1);
	BH__Members *members = g->members;
	const BH__MemberInfo *self = bh__members_get_self(members);

	p->gate = g;
	p->state = bh__hall_paths_new(self->hall, self->node_id);
	p->probes = g_hash_table_new(g_direct_hash, g_direct_equal);
	p->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->rand = g_rand_new_with_seed((guint32)g->boot_id);
	bh__members_set_paths(members, p->state);
	return p;
}

/* Ends all probes and frees `p`, which may be NULL. */
void hall_paths_delete(HallPaths *p)
{
	GList *all;

	if (!p)
		return;
	if (p->gate->members)
		bh__members_set_paths(p->gate->members, NULL);
	all = g_hash_table_get_keys(p->probes);
	for (GList *it = all; it; it = it->next) {
		Probe *probe = it->data;
		probe->channel->ops->close(probe->channel);
		g_free(probe);
	}
	g_list_free(all);
	g_hash_table_unref(p->probes);
	g_hash_table_unref(p->known);
	g_rand_free(p->rand);
	bh__hall_paths_delete(p->state);
	g_free(p);
}

/* Returns the hall of an endpoint; empty: it is not registered. */
static const char *get_hall_(const HallPaths *p, uint64_t endpoint_id)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(p->gate->registry, endpoint_id);

	return e ? e->entry.hall : "";
}

/* Records that a connection to an endpoint takes longer than connections usually do, or got no answer. */
void hall_paths_note_failed(HallPaths *p, uint64_t endpoint_id)
{
	bh__hall_paths_note_failed(p->state, get_hall_(p, endpoint_id), endpoint_id, clock_now_us());
	make_probes_(p);
}

/* Records that an endpoint has answered a new connection, if only by refusing it. */
void hall_paths_note_reached(HallPaths *p, uint64_t endpoint_id)
{
	bh__hall_paths_note_reached(p->state, get_hall_(p, endpoint_id), clock_now_us());
}

/* Returns the state of the path to an endpoint's hall. */
BH__PathState hall_paths_get_state(const HallPaths *p, uint64_t endpoint_id)
{
	return bh__hall_paths_get_state(p->state, get_hall_(p, endpoint_id));
}

/* Returns true unless the path between the halls of two endpoints is known to be lost. */
bool hall_paths_joins(const HallPaths *p, uint64_t endpoint_id, uint64_t other_id)
{
	return bh__hall_paths_has_path(p->state, get_hall_(p, endpoint_id), get_hall_(p, other_id));
}

/* Makes the probes that are due. */
static void make_probes_(HallPaths *p)
{
	uint64_t patience_us = CLAMP(2 * links_get_patience_us(p->gate->links), PROBE_MIN_US, PROBE_MAX_US);
	const char *hall;

	while (g_hash_table_size(p->probes) < PROBES_MAX &&
		   (hall = bh__hall_paths_take_probe(p->state, clock_now_us()))) {
		Probe *probe;
		const char *address;
		uint64_t target;
		if (!find_target_(p, hall, &target, &address))
			continue;
		probe = g_new0(Probe, 1);
		probe->paths = p;
		probe->target = target;
		g_strlcpy(probe->hall, hall, sizeof probe->hall);
		probe->channel = direct_channel_new(p->gate, address, 0, patience_us, &Callbacks_, probe);
		g_hash_table_add(p->probes, probe);
		p->probes_total++;
	}
}

/* Draws a target in a hall: a node that is not dead, or an endpoint if there is none and for each third
 * probe, since a hall may have one node only; or a node that was taken for dead, which may be back with the
 * path. */
static bool find_target_(const HallPaths *p, const char *hall, uint64_t *target, const char **address)
{
	if (p->probes_total % ENDPOINT_PROBES == 0 && draw_endpoint_(p, hall, target, address))
		return true;
	return draw_node_(p, hall, BH__MEMBER_SUSPECT, target, address) ||
		   draw_endpoint_(p, hall, target, address) || draw_node_(p, hall, BH__MEMBER_DEAD, target, address);
}

/* Draws a node of a hall whose state is no worse than `worst`. */
static bool draw_node_(const HallPaths *p, const char *hall, BH__MemberState worst, uint64_t *target,
					   const char **address)
{
	const BH__Members *m = p->gate->members;
	unsigned count = bh__members_get_count(m);
	unsigned start = (unsigned)g_rand_int_range(p->rand, 0, (gint32)count);

	for (unsigned i = 0; i < count; i++) {
		unsigned index = (start + i) % count;
		const BH__MemberInfo *info = bh__members_get(m, index);
		if (!index || info->state > worst || strcmp(info->hall, hall) != 0)
			continue;
		*target = info->node_id;
		*address = info->peer_address;
		return true;
	}
	return false;
}

static bool draw_endpoint_(const HallPaths *p, const char *hall, uint64_t *target, const char **address)
{
	const BH__Registry *r = p->gate->registry;
	unsigned count = bh__registry_get_count(r);
	unsigned start = count ? (unsigned)g_rand_int_range(p->rand, 0, (gint32)count) : 0;

	for (unsigned i = 0; i < count; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, (start + i) % count);
		if (strcmp(e->entry.hall, hall) != 0)
			continue;
		*target = e->endpoint_id;
		*address = e->entry.address;
		return true;
	}
	return false;
}

static void on_open_(void *ctx, Channel *c)
{
	Probe *probe = ctx;

	c->ops->close(c);
	finish_(probe, true);
}

static void on_data_(void *ctx, Channel *c, struct evbuffer *data)
{
	(void)ctx;
	(void)c;
	evbuffer_drain(data, evbuffer_get_length(data));
}

/* A connection that is refused has crossed the path both ways. */
static void on_end_(void *ctx, Channel *c, ChannelEnd end)
{
	(void)c;
	finish_(ctx, end == CHANNEL_REFUSED);
}

static void finish_(Probe *probe, bool reached)
{
	HallPaths *p = probe->paths;
	uint64_t now_us = clock_now_us();

	g_hash_table_remove(p->probes, probe);
	if (reached)
		bh__hall_paths_note_reached(p->state, probe->hall, now_us);
	else
		bh__hall_paths_note_failed(p->state, probe->hall, probe->target, now_us);
	g_free(probe);
	send_reports_(p, now_us);
	process_change_(p, now_us);
}

/* Broadcasts the reports that are due. */
static void send_reports_(HallPaths *p, uint64_t now_us)
{
	BH__Members *members = p->gate->members;
	BH__Message m = {.type = BH__MESSAGE_HALL_PATHS};

	while (bh__hall_paths_take_report(p->state, now_us, &m.as.hall_paths.report))
		bh__members_broadcast(members, &m);
}

/* Takes a report of another node and passes it on. Returns false if the message is another one; then it still
 * shows that its sender's hall is heard. */
bool hall_paths_process_message(HallPaths *p, const BH__Message *m)
{
	BH__Members *members = p->gate->members;
	const BH__MemberInfo *from = bh__members_find(members, m->from_node);
	uint64_t now_us = clock_now_us();

	if (from)
		bh__hall_paths_note_heard(p->state, from->hall, now_us);
	if (m->type != BH__MESSAGE_HALL_PATHS)
		return false;
	bh__hall_paths_process_report(p->state, &m->as.hall_paths.report, now_us);
	bh__members_forward(members, m);
	process_change_(p, now_us);
	return true;
}

/* Counts the usable nodes of each hall anew if the membership has changed. */
static void tell_halls_(HallPaths *p)
{
	const BH__Members *m = p->gate->members;

	if (p->members_version == bh__members_get_version(m))
		return;
	p->members_version = bh__members_get_version(m);
	bh__members_tell_halls(m, p->state);
}

void hall_paths_process_tick(HallPaths *p, uint64_t now_us)
{
	tell_halls_(p);
	bh__hall_paths_process_tick(p->state, now_us);
	make_probes_(p);
	send_reports_(p, now_us);
	process_change_(p, now_us);
	free_grants_(p, now_us);
	if (p->registry_version != bh__registry_get_version(p->gate->registry))
		apply_to_endpoints_(p, now_us);
}

/* Applies a change of the belief: duties are chosen anew, and endpoints without a way are not used. */
static void process_change_(HallPaths *p, uint64_t now_us)
{
	if (p->version == bh__hall_paths_get_version(p->state))
		return;
	p->version = bh__hall_paths_get_version(p->state);
	for (unsigned i = 0; i < bh__hall_paths_get_count(p->state); i++) {
		BH__PathInfo info;
		bh__hall_paths_get_info(p->state, i, &info);
		note_change_(p, &info, now_us);
	}
	bh__members_process_paths(p->gate->members);
	apply_to_endpoints_(p, now_us);
}

/* Logs the loss and the return of a path. What nodes on its two sides reported of engines meanwhile is taken
 * back. */
static void note_change_(HallPaths *p, const BH__PathInfo *info, uint64_t now_us)
{
	bool was_lost = GPOINTER_TO_INT(g_hash_table_lookup(p->known, info->hall)) != KNOWN_OPEN;
	bool is_lost = info->state == BH__PATH_LOST;

	if (was_lost == is_lost)
		return;
	g_hash_table_replace(p->known, g_strdup(info->hall), GINT_TO_POINTER(is_lost ? KNOWN_LOST : KNOWN_OPEN));
	p->lost_total += is_lost;
	log_event("path",
			  "what=%s hall=%s since_ms=%" G_GUINT64_FORMAT
			  " heard=%s failed_targets=%u reporters=%u detour=%s serves=%s",
			  is_lost ? "lost" : "back", info->hall, (now_us - MIN(now_us, info->since_us)) / BH__MS_US,
			  info->is_heard ? "yes" : "no", info->failures, info->reporters, info->has_detour ? "yes" : "no",
			  bh__hall_paths_may_serve(p->state, info->hall) ? "yes" : "no");
	withdraw_failures_(p, info->hall);
}

static void withdraw_failures_(HallPaths *p, const char *hall)
{
	const BH__Members *m = p->gate->members;
	const BH__MemberInfo *self = bh__members_get_self(m);

	bh__registry_withdraw_failures(p->gate->registry);
	for (unsigned i = 0; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		if (!strcmp(info->hall, hall) || !strcmp(info->hall, self->hall))
			p->gate->reach_port->withdraw(p->gate->reach_port, info->node_id);
	}
}

/* Frees what nodes hold whose hall has had no way for a while. They aren't declared dead, but may not tell
 * when their requests end. */
static void free_grants_(HallPaths *p, uint64_t now_us)
{
	const BH__Members *m = p->gate->members;

	for (unsigned i = 0; i < bh__hall_paths_get_count(p->state); i++) {
		BH__PathInfo info;
		bh__hall_paths_get_info(p->state, i, &info);
		if (GPOINTER_TO_INT(g_hash_table_lookup(p->known, info.hall)) != KNOWN_LOST || info.has_detour ||
			now_us < info.since_us + GONE_US)
			continue;
		g_hash_table_replace(p->known, g_strdup(info.hall), GINT_TO_POINTER(KNOWN_GONE));
		for (unsigned j = 1; j < bh__members_get_count(m); j++)
			if (!strcmp(bh__members_get(m, j)->hall, info.hall))
				p->gate->reach_port->node_gone(p->gate->reach_port, bh__members_get(m, j)->node_id);
	}
}

/* Marks the endpoints to which there is no way, so that nothing is planned or sent there. */
static void apply_to_endpoints_(HallPaths *p, uint64_t now_us)
{
	BH__Registry *r = p->gate->registry;
	bool changed = false;

	for (unsigned i = 0; i < bh__registry_get_count(r); i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		bool has_way = bh__hall_paths_is_reachable(p->state, e->entry.hall) &&
					   bh__hall_paths_plans_together(p->state, e->entry.hall);
		changed |= e->is_out_of_reach == has_way;
		e->is_out_of_reach = !has_way;
	}
	p->registry_version = bh__registry_get_version(r);
	if (changed)
		p->gate->reach_port->paths_changed(p->gate->reach_port, now_us);
}

/* Writes the paths as metrics. */
void hall_paths_write_status(const HallPaths *p, struct evbuffer *out)
{
	for (unsigned i = 0; i < bh__hall_paths_get_count(p->state); i++) {
		BH__PathInfo info;
		bh__hall_paths_get_info(p->state, i, &info);
		evbuffer_add_printf(out, "bayhoist_path_lost{hall=\"%s\"} %d\n", info.hall,
							info.state == BH__PATH_LOST);
	}
	evbuffer_add_printf(out,
						"bayhoist_paths_lost_total %" G_GUINT64_FORMAT
						"\nbayhoist_path_probes_total %" G_GUINT64_FORMAT "\n",
						p->lost_total, p->probes_total);
}

/* Returns the paths to the other halls as a JSON array for operators. The caller frees it. */
struct json_object *hall_paths_describe(const HallPaths *p)
{
	struct json_object *all = json_object_new_array();
	uint64_t now_us = clock_now_us();

	for (unsigned i = 0; i < bh__hall_paths_get_count(p->state); i++) {
		struct json_object *o = json_object_new_object();
		BH__PathInfo info;
		bh__hall_paths_get_info(p->state, i, &info);
		json_object_object_add(o, "hall", json_object_new_string(info.hall));
		json_object_object_add(o, "path", json_object_new_string(BH__PathStateString[info.state]));
		json_object_object_add(o, "heard", json_object_new_string(info.is_heard ? "yes" : "no"));
		json_object_object_add(
			o, "since_ms",
			json_object_new_int64(info.since_us ? (int64_t)((now_us - info.since_us) / BH__MS_US) : 0));
		json_object_object_add(o, "failed_targets", json_object_new_int64(info.failures));
		json_object_object_add(o, "reporters", json_object_new_int64(info.reporters));
		json_object_object_add(o, "detour", json_object_new_string(info.has_detour ? "yes" : "no"));
		json_object_array_add(all, o);
	}
	return all;
}
