/* SPDX-License-Identifier: BSD-3-Clause */
/* The choice of a peer: of a few that are drawn at random, the one with the least to do, and rather one in
 * the same hall. The least loaded of all would be the same one for every node. */
#include "bayhoist/relay_peers.h"

#include <string.h>

#define DRAWN_ 3 /* peers that are compared for one choice */
/* What a hop to another hall costs beside the load, in requests in progress on a node of usual capacity. */
#define HALL_COST_ 2.0
/* A peer that refused is left alone for this time; one that could not be reached is used after all others. */
#define AVOID_US_ BH__SECOND_US
/* What a node told about its links counts for this long. It tells again in less while they are cut. */
#define CUT_VALID_US_ (5 * BH__SECOND_US)

/* What is known of one peer; relevant only while one of its fields is set. */
typedef struct {
	unsigned in_use;         /* requests of this node's that go through it now */
	uint64_t avoid_until_us; /* it refused */
	uint64_t lost_until_us;  /* it could not be reached */
	uint64_t cut_until_us;   /* it has told that it has lost its own links */
} Peer_;

/* Which peers may carry a request. */
typedef struct {
	const char *hall;       /* that of the endpoint; NULL: any */
	const uint64_t *except; /* peers that the request has tried */
	unsigned except_count;
	bool with_lost; /* also those that could not be reached lately */
	uint64_t now_us;
} Wanted_;

struct BH__RelayPeers {
	GHashTable *peers; /* Peer_ by node id */
	GRand *rand;
};

static Peer_ *add_peer_(BH__RelayPeers *r, uint64_t node_id);
static void list_candidates_(const BH__RelayPeers *r, const BH__Members *m, const Wanted_ *w, GPtrArray *out);
static bool is_candidate_(const BH__RelayPeers *r, const BH__MemberInfo *info, const Wanted_ *w);
static bool may_carry_(const BH__Members *m, const BH__MemberInfo *info, const char *hall);
static double cost_(const BH__RelayPeers *r, const BH__MemberInfo *info, const BH__MemberInfo *self);

BH__RelayPeers *bh__relay_peers_new(uint32_t seed)
{
	BH__RelayPeers *r = g_new0(BH__RelayPeers, 1);

	r->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	r->rand = g_rand_new_with_seed(seed);
	return r;
}

void bh__relay_peers_delete(BH__RelayPeers *r)
{
	if (!r)
		return;
	g_hash_table_unref(r->peers);
	g_rand_free(r->rand);
	g_free(r);
}

/* Returns the id of the peer to use next for an endpoint in any hall, see bh__relay_peers_pick_for(). */
uint64_t bh__relay_peers_pick(BH__RelayPeers *r, const BH__Members *m, const uint64_t *except,
							  unsigned except_count, uint64_t now_us)
{
	return bh__relay_peers_pick_for(r, m, NULL, except, except_count, now_us);
}

/* Returns the id of the peer to use next, or 0 if there is none. `hall`: that of the endpoint, to which the
 * peer's hall must have a path; NULL: any. `except` lists peers that this request has tried. A peer that
 * could not be reached is used if there is no other, because a single slow connection must not leave this
 * node without a relay for AVOID_US_. */
uint64_t bh__relay_peers_pick_for(BH__RelayPeers *r, const BH__Members *m, const char *hall,
								  const uint64_t *except, unsigned except_count, uint64_t now_us)
{
	Wanted_ wanted = {.hall = hall, .except = except, .except_count = except_count, .now_us = now_us};
	const BH__MemberInfo *self = bh__members_get_self(m);
	const BH__MemberInfo *best = NULL;
	GPtrArray *all = g_ptr_array_new();
	uint64_t node_id;

	list_candidates_(r, m, &wanted, all);
	wanted.with_lost = true;
	if (!all->len)
		list_candidates_(r, m, &wanted, all);
	for (unsigned drawn = 0; drawn < DRAWN_ && all->len; drawn++) {
		const BH__MemberInfo *info =
			g_ptr_array_remove_index_fast(all, (guint)g_rand_int_range(r->rand, 0, (gint32)all->len));
		if (!best || cost_(r, info, self) < cost_(r, best, self))
			best = info;
	}
	node_id = best ? best->node_id : 0;
	g_ptr_array_unref(all);
	return node_id;
}

/* Appends the peers through which a request may go to `out` (BH__MemberInfo). */
static void list_candidates_(const BH__RelayPeers *r, const BH__Members *m, const Wanted_ *w, GPtrArray *out)
{
	for (unsigned i = 1; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		if (is_candidate_(r, info, w) && may_carry_(m, info, w->hall))
			g_ptr_array_add(out, (gpointer)info);
	}
}

/* Returns true if a request may go through a node, by what is known of that node itself. */
static bool is_candidate_(const BH__RelayPeers *r, const BH__MemberInfo *info, const Wanted_ *w)
{
	const Peer_ *p = g_hash_table_lookup(r->peers, &info->node_id);

	for (unsigned i = 0; i < w->except_count; i++)
		if (w->except[i] == info->node_id)
			return false;
	if (!bh__member_is_usable(info))
		return false;
	return !p || (w->now_us >= p->avoid_until_us && w->now_us >= p->cut_until_us &&
				  (w->with_lost || w->now_us >= p->lost_until_us));
}

/* Returns true if the paths between the halls let a peer connect to an endpoint in `hall` for this node. */
static bool may_carry_(const BH__Members *m, const BH__MemberInfo *info, const char *hall)
{
	const BH__HallPaths *paths = bh__members_get_paths(m);

	return !paths ||
		   (hall ? bh__hall_paths_may_relay(paths, info->hall, hall) : bh__members_is_connected(m, info));
}

/* Returns what it costs to use a peer: the requests in progress there, as it told last and as this node sends
 * them, against its capacity, and the way to it. */
static double cost_(const BH__RelayPeers *r, const BH__MemberInfo *info, const BH__MemberInfo *self)
{
	const Peer_ *p = g_hash_table_lookup(r->peers, &info->node_id);
	double requests = (double)info->load + (p ? p->in_use : 0) + 1;
	double capacity = info->capacity && self->capacity ? (double)info->capacity / self->capacity : 1;

	return requests / capacity + (strcmp(info->hall, self->hall) != 0 ? HALL_COST_ : 0);
}

/* Records that a request of this node's begins to go through a peer. */
void bh__relay_peers_note_begin(BH__RelayPeers *r, uint64_t node_id)
{
	add_peer_(r, node_id)->in_use++;
}

/* Records that such a request has ended. */
void bh__relay_peers_note_end(BH__RelayPeers *r, uint64_t node_id)
{
	Peer_ *p = add_peer_(r, node_id);

	p->in_use -= p->in_use > 0;
}

/* Records that a peer refused to send a request on. */
void bh__relay_peers_note_refused(BH__RelayPeers *r, uint64_t node_id, uint64_t now_us)
{
	add_peer_(r, node_id)->avoid_until_us = now_us + AVOID_US_;
}

/* Records that a peer could not be reached. */
void bh__relay_peers_note_lost(BH__RelayPeers *r, uint64_t node_id, uint64_t now_us)
{
	add_peer_(r, node_id)->lost_until_us = now_us + AVOID_US_;
}

/* Records what a node has told about its own links. */
void bh__relay_peers_set_cut(BH__RelayPeers *r, uint64_t node_id, bool is_cut, uint64_t now_us)
{
	add_peer_(r, node_id)->cut_until_us = is_cut ? now_us + CUT_VALID_US_ : 0;
}

/* Returns true if a node has told that it has lost its own links. */
bool bh__relay_peers_is_cut(const BH__RelayPeers *r, uint64_t node_id, uint64_t now_us)
{
	const Peer_ *p = g_hash_table_lookup(r->peers, &node_id);

	return p && now_us < p->cut_until_us;
}

/* Returns the number of requests of this node's that go through a peer now. */
unsigned bh__relay_peers_get_in_use(const BH__RelayPeers *r, uint64_t node_id)
{
	const Peer_ *p = g_hash_table_lookup(r->peers, &node_id);

	return p ? p->in_use : 0;
}

/* Returns the entry of a peer, a new one if there is none. */
static Peer_ *add_peer_(BH__RelayPeers *r, uint64_t node_id)
{
	Peer_ *p = g_hash_table_lookup(r->peers, &node_id);

	if (p)
		return p;
	p = g_new0(Peer_, 1);
	g_hash_table_insert(r->peers, g_memdup2(&node_id, sizeof node_id), p);
	return p;
}
