/* SPDX-License-Identifier: BSD-3-Clause */
/* The node's belief about its own links. Only endpoints that could not be connected to have an entry, until a
 * connection to them succeeds. */
#include "bayhoist/link_state.h"

#include <glib.h>

/* Endpoints with a bad path that make a cut. One alone may be a matter between this node and that VM. */
#define CUT_PATHS_ 2u
/* A peer's connection counts as made at the same time as a failed one of this node's within this time. */
#define SAME_TIME_US_ BH__SECOND_US
/* Shortest time between two looks at endpoints with a bad path, so that links which are back are used within
 * a second at the price of few connections. */
#define LOOK_PERIOD_US_ (250 * BH__MS_US)
/* Bounds of the time for which a connection may be pending before a peer is asked too. A connection takes a
 * round trip; if the opening packet is lost, the kernel sends it again after hundreds of ms. */
#define PATIENCE_MIN_US_ (20 * BH__MS_US)
#define PATIENCE_MAX_US_ (100 * BH__MS_US)
/* Weights and factor of the estimated connect time and its deviation, as TCP estimates round trips. */
#define TIME_WEIGHT_ 0.125
#define DEVIATION_WEIGHT_ 0.25
#define DEVIATIONS_ 4
#define PATHS_MAX_ 4096 /* entries at most; beyond that, failures of further endpoints are not recorded */

const char *const BH__LinksStateString[] = {"up", "dark", "cut"};

/* An endpoint that this node could not connect to. Times are 0 if it never happened. */
typedef struct {
	uint64_t first_failed_us;
	uint64_t failed_us;    /* when a connection of this node's last failed */
	uint64_t reached_us;   /* when a peer last connected to it */
	uint64_t unreached_us; /* when a peer last failed to */
	uint64_t looked_us;    /* when a look at it was last taken */
} Path_;

struct BH__LinkState {
	BH__LinksState state;
	GHashTable *paths; /* Path_ by endpoint id */
	BH__LinkEvidence evidence;
	uint64_t connected_us; /* when the latest connection was set up that any endpoint answered on; 0: never */
	uint64_t failed_us;    /* when a connection to any endpoint last failed; 0: never */
	uint64_t cut_ended_us; /* when the last cut ended; 0: there was none */
	uint64_t looked_us;    /* when the last look was taken; 0: never */
	double time_us;        /* estimated connect time; 0: unknown */
	double deviation_us;   /* estimated deviation from it */
};

static Path_ *add_path_(BH__LinkState *l, uint64_t endpoint_id);
static bool is_bad_(const Path_ *p);
static void update_(BH__LinkState *l, uint64_t now_us);
static void enter_(BH__LinkState *l, BH__LinksState state, uint64_t since_us);
static void end_cut_(BH__LinkState *l, uint64_t now_us);

BH__LinkState *bh__link_state_new(uint64_t now_us)
{
	BH__LinkState *l = g_new0(BH__LinkState, 1);

	l->paths = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	l->evidence.since_us = now_us;
	return l;
}

void bh__link_state_delete(BH__LinkState *l)
{
	if (!l)
		return;
	g_hash_table_unref(l->paths);
	g_free(l);
}

BH__LinksState bh__link_state_get(const BH__LinkState *l)
{
	return l->state;
}

/* Tells what the present state rests on. */
void bh__link_state_get_evidence(const BH__LinkState *l, BH__LinkEvidence *out)
{
	GHashTableIter it;
	gpointer path;

	*out = l->evidence;
	g_hash_table_iter_init(&it, l->paths);
	while (g_hash_table_iter_next(&it, NULL, &path)) {
		out->failed_paths += ((const Path_ *)path)->failed_us != 0;
		out->bad_paths += is_bad_(path);
	}
}

/* Returns how a request gets to an endpoint. */
BH__LinkRoute bh__link_state_choose(const BH__LinkState *l, uint64_t endpoint_id)
{
	const Path_ *p = g_hash_table_lookup(l->paths, &endpoint_id);

	return l->state == BH__LINKS_CUT || (p && is_bad_(p)) ? BH__LINK_ROUTE_PEER : BH__LINK_ROUTE_DIRECT;
}

/* Returns for how long a connection to an endpoint may be pending before a peer is asked too. */
uint64_t bh__link_state_get_patience_us(const BH__LinkState *l)
{
	double us = l->time_us + DEVIATIONS_ * l->deviation_us;

	return l->time_us > 0 ? (uint64_t)CLAMP(us, PATIENCE_MIN_US_, PATIENCE_MAX_US_) : PATIENCE_MAX_US_;
}

/* Returns the endpoint at which this node should look now, whether it can be connected to again, or
 * BH__NO_ENDPOINT: of those that it can't connect to, if that may be its links' fault, the one at which it
 * last looked longest ago. The caller looks and notes the result. */
uint64_t bh__link_state_take_look(BH__LinkState *l, uint64_t now_us)
{
	uint64_t *next = NULL;
	Path_ *next_path = NULL;
	GHashTableIter it;
	gpointer id;
	gpointer path;

	if (l->looked_us && now_us < l->looked_us + LOOK_PERIOD_US_)
		return BH__NO_ENDPOINT;
	g_hash_table_iter_init(&it, l->paths);
	while (g_hash_table_iter_next(&it, &id, &path)) {
		Path_ *p = path;
		if ((l->state == BH__LINKS_UP && !is_bad_(p)) || (next_path && p->looked_us >= next_path->looked_us))
			continue;
		next = id;
		next_path = p;
	}
	if (!next)
		return BH__NO_ENDPOINT;
	l->looked_us = now_us;
	next_path->looked_us = now_us;
	return *next;
}

/* Forgets an endpoint that is gone. */
void bh__link_state_forget(BH__LinkState *l, uint64_t endpoint_id)
{
	g_hash_table_remove(l->paths, &endpoint_id);
}

/* Appends the ids (uint64_t) of all endpoints that this node could not connect to. */
void bh__link_state_list(const BH__LinkState *l, GArray *out)
{
	GHashTableIter it;
	gpointer id;

	g_hash_table_iter_init(&it, l->paths);
	while (g_hash_table_iter_next(&it, &id, NULL))
		g_array_append_vals(out, id, 1);
}

/* Records how long it took to set up a connection to some endpoint. */
void bh__link_state_note_connect_time(BH__LinkState *l, uint64_t took_us)
{
	double off_us = (double)took_us - l->time_us;

	if (l->time_us > 0) {
		l->deviation_us += DEVIATION_WEIGHT_ * (ABS(off_us) - l->deviation_us);
		l->time_us += TIME_WEIGHT_ * off_us;
	}
	else {
		l->time_us = MAX((double)took_us, 1);
		l->deviation_us = l->time_us / 2;
	}
}

/* Records that an endpoint can be used over a connection that was set up at `opened_us`. Connections that
 * stood before a cut may live on, so only one that is newer than the last failure ends it, also for the other
 * endpoints: what is still broken shows again by itself. */
void bh__link_state_note_reached(BH__LinkState *l, uint64_t endpoint_id, uint64_t opened_us, uint64_t now_us)
{
	const Path_ *p = g_hash_table_lookup(l->paths, &endpoint_id);

	l->connected_us = MAX(l->connected_us, opened_us);
	if (p && opened_us > p->failed_us)
		g_hash_table_remove(l->paths, &endpoint_id);
	if (l->state == BH__LINKS_CUT && opened_us > l->failed_us)
		end_cut_(l, now_us);
	else if (l->state == BH__LINKS_DARK)
		update_(l, now_us);
}

/* Records that this node could not connect to an endpoint. */
void bh__link_state_note_failed(BH__LinkState *l, uint64_t endpoint_id, uint64_t now_us)
{
	Path_ *p = add_path_(l, endpoint_id);

	l->evidence.failures++;
	l->failed_us = now_us;
	if (!p)
		return;
	if (!p->first_failed_us)
		p->first_failed_us = now_us;
	p->failed_us = now_us;
	update_(l, now_us);
}

/* Records whether a peer could connect to an endpoint. Counts for endpoints that this node could not connect
 * to, before or soon after. */
void bh__link_state_note_peer(BH__LinkState *l, uint64_t endpoint_id, bool reached, uint64_t now_us)
{
	Path_ *p = add_path_(l, endpoint_id);

	if (reached)
		l->evidence.peers_reached++;
	if (!p)
		return;
	if (reached)
		p->reached_us = now_us;
	else
		p->unreached_us = now_us;
	update_(l, now_us);
}

/* Returns true if a failure of this node's at an endpoint says little of the endpoint, since another one
 * could not be connected to either after this node's last connection. */
bool bh__link_state_is_doubtful(const BH__LinkState *l, uint64_t endpoint_id)
{
	GHashTableIter it;
	gpointer id;
	gpointer path;

	g_hash_table_iter_init(&it, l->paths);
	while (g_hash_table_iter_next(&it, &id, &path))
		if (*(const uint64_t *)id != endpoint_id && ((const Path_ *)path)->failed_us > l->connected_us)
			return true;
	return false;
}

/* Returns true if what failed at an endpoint, in a dispatch that began at `since_us`, is to be put down to
 * this node's links: they are cut, were cut meanwhile, or the path to this endpoint is bad. */
bool bh__link_state_is_own_fault(const BH__LinkState *l, uint64_t endpoint_id, uint64_t since_us)
{
	return bh__link_state_choose(l, endpoint_id) == BH__LINK_ROUTE_PEER || l->cut_ended_us > since_us;
}

/* Returns the entry of an endpoint, a new one if there is none, or NULL if there are too many. */
static Path_ *add_path_(BH__LinkState *l, uint64_t endpoint_id)
{
	Path_ *p = g_hash_table_lookup(l->paths, &endpoint_id);

	if (p || g_hash_table_size(l->paths) >= PATHS_MAX_)
		return p;
	p = g_new0(Path_, 1);
	g_hash_table_insert(l->paths, g_memdup2(&endpoint_id, sizeof endpoint_id), p);
	return p;
}

/* Returns true if a peer reached the endpoint at the time when this node could not. What a peer reported last
 * counts, so that an endpoint which has died meanwhile is no bad path. */
static bool is_bad_(const Path_ *p)
{
	return p->failed_us && p->reached_us && p->reached_us + SAME_TIME_US_ >= p->failed_us &&
		   p->reached_us >= p->unreached_us;
}

/* Sets the state by the endpoints that failed after this node's last connection: a cut if peers reach enough
 * of them, dark if as many failed and nobody is known to reach them. Only a connection ends a cut. */
static void update_(BH__LinkState *l, uint64_t now_us)
{
	uint64_t since_us = UINT64_MAX;
	unsigned failed = 0;
	unsigned bad = 0;
	GHashTableIter it;
	gpointer path;

	if (l->state == BH__LINKS_CUT)
		return;
	g_hash_table_iter_init(&it, l->paths);
	while (g_hash_table_iter_next(&it, NULL, &path)) {
		const Path_ *p = path;
		if (!p->failed_us || p->failed_us <= l->connected_us)
			continue;
		failed++;
		bad += is_bad_(p);
		since_us = MIN(since_us, MAX(p->first_failed_us, l->connected_us));
	}
	if (bad >= CUT_PATHS_)
		enter_(l, BH__LINKS_CUT, since_us);
	else if (failed >= CUT_PATHS_)
		enter_(l, BH__LINKS_DARK, since_us);
	else
		enter_(l, BH__LINKS_UP, now_us);
}

/* Changes the state, which began at `since_us`, unless it is the same. */
static void enter_(BH__LinkState *l, BH__LinksState state, uint64_t since_us)
{
	if (l->state == state)
		return;
	l->state = state;
	l->evidence.since_us = since_us;
	l->evidence.cuts += state == BH__LINKS_CUT;
}

/* Ends a cut. The entries of all endpoints go: they were made by the cut. */
static void end_cut_(BH__LinkState *l, uint64_t now_us)
{
	enter_(l, BH__LINKS_UP, now_us);
	l->cut_ended_us = now_us;
	l->evidence.failures = 0;
	l->evidence.peers_reached = 0;
	g_hash_table_remove_all(l->paths);
}
