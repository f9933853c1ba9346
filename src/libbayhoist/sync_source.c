/* SPDX-License-Identifier: BSD-3-Clause */
/* Choice of the source of platform state. */
#include "bayhoist/sync_source.h"

#include <math.h>
#include <string.h>
#include "bayhoist/hash.h"

#define READER_KEY_ "platform-reader"
#define SKIP_US_ (5 * BH__SECOND_US) /* time for which a source that was of no use is not asked */
/* Number of unresponsive sources in a row after which a node considers itself isolated from its peers. */
#define UNRESPONSIVE_MAX_ 2
/* Number of sources without fresh state, since the last useful one, after which the platform counts as
 * unavailable. Up to this number all nodes ask the same sources. When the platform refuses these nodes and
 * serves others, all nodes therefore agree that it is unavailable. */
#define STALE_MAX_ 4
/* Longest time beyond the reader's period that its platform read and the message with the result may take. */
#define READ_LATE_US_ (250 * BH__MS_US)
/* Time for which a node that took over is the reader. After it the nodes first in rank are asked again. */
#define READER_TERM_US_ (5 * BH__SECOND_US)
/* Node of the tree in which a new reader is announced. All nodes compute the same order by weight. */
typedef struct {
	uint64_t weight; /* position in the tree: descending */
	uint64_t node;   /* node id */
} TreeNode_;

static uint64_t pick_source_(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us);
static bool is_new_reader_usable_(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us);
static bool is_skipped_(const BH__SyncSource *s, uint64_t node, uint64_t now_us);
static uint64_t pick_any_usable_(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us);
static void set_new_reader_(BH__SyncSource *s, uint64_t reader, uint64_t via, uint64_t now_us);
static bool is_usable_(const BH__SyncSource *s, const BH__Members *m, uint64_t node, uint64_t now_us);
static gint compare_weight_(gconstpointer a, gconstpointer b);
static void skip_source_(BH__SyncSource *s, bool unresponsive, uint64_t now_us);

/* Updates the choice of source from membership. Returns true if the source has changed. */
bool bh__sync_source_process_tick(BH__SyncSource *s, const BH__Members *m, uint64_t now_us)
{
	uint64_t was = s->node;
	uint64_t self = bh__members_get_self(m)->node_id;

	/* A reader whose term has ended reads on until it has found another source. */
	if (s->new_reader == self && now_us >= s->new_reader_until_us) {
		s->new_reader = 0;
		s->node = self;
		skip_source_(s, false, now_us);
	}
	s->node = pick_source_(s, m, now_us);
	return s->node != was;
}

/* Returns the node to ask. The hall relay comes first. A node that is the hall relay, or whose hall relay was
 * of no use, asks the reader: the node that took over, or else the first in rank. If neither is of use, it
 * asks any node. */
static uint64_t pick_source_(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us)
{
	const BH__MemberInfo *self = bh__members_get_self(m);
	bool has_new_reader = is_new_reader_usable_(s, m, now_us);
	uint64_t key = bh__hash_name(READER_KEY_);
	uint64_t skipped[BH__SYNC_SOURCE_SKIPPED_MAX];
	unsigned count = 0;
	uint64_t node = 0;

	if (has_new_reader && s->new_reader == self->node_id)
		return self->node_id;
	if (has_new_reader && s->new_reader_via && is_usable_(s, m, s->new_reader_via, now_us))
		return s->new_reader_via;
	for (unsigned i = 0; i < BH__SYNC_SOURCE_SKIPPED_MAX; i++)
		if (now_us < s->skipped[i].until_us)
			skipped[count++] = s->skipped[i].node;
	if (!s->unresponsive_count && !s->stale_count)
		node = bh__members_pick_except(m, key, self->hall, skipped, count);
	if (node && node != self->node_id)
		return node;
	if (has_new_reader)
		return s->new_reader;
	if (bh__sync_source_is_platform_unavailable(s))
		return pick_any_usable_(s, m, now_us);
	node = bh__members_pick_except(m, key, NULL, skipped, count);
	return node ? node : self->node_id;
}

/* Returns true if a node has taken over reading the platform, its term has not ended, and it can be asked. */
static bool is_new_reader_usable_(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us)
{
	return s->new_reader && now_us < s->new_reader_until_us && is_usable_(s, m, s->new_reader, now_us);
}

/* Returns true if a node is a usable member and is not skipped. */
static bool is_usable_(const BH__SyncSource *s, const BH__Members *m, uint64_t node, uint64_t now_us)
{
	const BH__MemberInfo *info = bh__members_find(m, node);

	return info && bh__member_is_usable(info) && !is_skipped_(s, node, now_us);
}

/* Returns true if a node is skipped at `now_us`. */
static bool is_skipped_(const BH__SyncSource *s, uint64_t node, uint64_t now_us)
{
	for (unsigned i = 0; i < BH__SYNC_SOURCE_SKIPPED_MAX; i++)
		if (s->skipped[i].node == node && now_us < s->skipped[i].until_us)
			return true;
	return false;
}

/* Returns some other usable node, or this node if there is none. After each source of no use it returns
 * another one, in an order that differs by node: if all nodes asked the same ones, the nodes with fresh state
 * might never be asked. When the platform refused the six nodes first in rank, 49 of 85 nodes asked these in
 * a cycle for 5.5 s. */
static uint64_t pick_any_usable_(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us)
{
	uint64_t self = bh__members_get_self(m)->node_id;
	uint64_t key = bh__hash_pair(self, s->stale_count + s->unresponsive_count);
	uint64_t best = self;
	uint64_t best_weight = 0;

	for (unsigned i = 1; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		uint64_t weight = bh__hash_pair(info->node_id, key);
		if (!bh__member_is_usable(info) || is_skipped_(s, info->node_id, now_us) || weight <= best_weight)
			continue;
		best = info->node_id;
		best_weight = weight;
	}
	return best;
}

/* Skips the current source for SKIP_US_, because it did not answer or has no fresh state. */
static void skip_source_(BH__SyncSource *s, bool unresponsive, uint64_t now_us)
{
	unsigned slot = s->next_skipped++ % BH__SYNC_SOURCE_SKIPPED_MAX;

	s->skipped[slot].node = s->node;
	s->skipped[slot].until_us = now_us + SKIP_US_;
	s->skipped[slot].unresponsive = unresponsive;
}

/* Records that the source has fresh state, which `reader` has read (0: not known). A node that was searching
 * for a source asks the reader from now on. */
void bh__sync_source_note_useful(BH__SyncSource *s, uint64_t reader, uint64_t now_us)
{
	if (bh__sync_source_is_platform_unavailable(s) && reader)
		set_new_reader_(s, reader, 0, now_us);
	s->unresponsive_count = 0;
	s->stale_count = 0;
}

/* Sets the new reader for one term. Sources without fresh state are no longer skipped, because they get state
 * from that reader too. */
static void set_new_reader_(BH__SyncSource *s, uint64_t reader, uint64_t via, uint64_t now_us)
{
	for (unsigned i = 0; i < BH__SYNC_SOURCE_SKIPPED_MAX; i++)
		if (!s->skipped[i].unresponsive)
			s->skipped[i].until_us = 0;
	s->new_reader = reader;
	s->new_reader_via = via;
	s->new_reader_until_us = now_us + READER_TERM_US_;
	s->unresponsive_count = 0;
	s->stale_count = 0;
}

/* Handles the notice from node `via` that `reader` has taken over. Returns true if this node accepts it: it
 * has no usable new reader and a source was stale since the last useful one, or `reader` precedes in rank the
 * new reader that it knows. */
bool bh__sync_source_note_reader(BH__SyncSource *s, const BH__Members *m, uint64_t reader, uint64_t via,
								 uint64_t now_us)
{
	uint64_t key = bh__hash_name(READER_KEY_);
	bool knows_reader = is_new_reader_usable_(s, m, now_us);

	if (!knows_reader && !s->stale_count)
		return false;
	if (knows_reader && bh__hash_pair(s->new_reader, key) >= bh__hash_pair(reader, key))
		return false;
	set_new_reader_(s, reader, via, now_us);
	return true;
}

/* Handles an answer of the platform to this node. Returns true if this node takes over as the reader and must
 * announce it: it counted the platform as unavailable, or it is the reader (`reads`) and the platform had not
 * answered it for a while. In both cases no other new reader is usable. */
bool bh__sync_source_take_over(BH__SyncSource *s, const BH__Members *m, bool reads, uint64_t now_us)
{
	if ((!reads && !bh__sync_source_is_platform_unavailable(s)) || is_new_reader_usable_(s, m, now_us))
		return false;
	set_new_reader_(s, bh__members_get_self(m)->node_id, 0, now_us);
	return true;
}

/* Lists in `child` the nodes that this one notifies of a new reader, and returns their number. They are its
 * children in a tree of all usable nodes, whose order follows from the reader's id. If the reader notified
 * all nodes itself and all of them then asked it, one small VM would send 295 nodes the 155 entries that had
 * come back: 11 MB over a link of 20 Mbit/s. */
unsigned bh__sync_source_list_children(const BH__Members *m, uint64_t reader,
									   uint64_t child[BH__SYNC_SOURCE_CHILDREN_MAX])
{
	GArray *nodes = g_array_new(FALSE, FALSE, sizeof(TreeNode_));
	uint64_t self = bh__members_get_self(m)->node_id;
	unsigned count = 0;
	unsigned rank = 0;

	for (unsigned i = 0; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		TreeNode_ o = {.weight = bh__hash_pair(info->node_id, reader), .node = info->node_id};
		if (info->node_id == reader)
			o.weight = UINT64_MAX;
		if (i == 0 || bh__member_is_usable(info))
			g_array_append_val(nodes, o);
	}
	g_array_sort(nodes, compare_weight_);
	while (g_array_index(nodes, TreeNode_, rank).node != self)
		rank++;
	for (unsigned i = rank * BH__SYNC_SOURCE_CHILDREN_MAX + 1; i <= (rank + 1) * BH__SYNC_SOURCE_CHILDREN_MAX;
		 i++)
		if (i < nodes->len)
			child[count++] = g_array_index(nodes, TreeNode_, i).node;
	g_array_unref(nodes);
	return count;
}

/* Orders tree nodes by descending weight. */
static gint compare_weight_(gconstpointer a, gconstpointer b)
{
	uint64_t x = ((const TreeNode_ *)a)->weight;
	uint64_t y = ((const TreeNode_ *)b)->weight;

	return x > y ? -1 : x < y;
}

/* Records that the source has not answered. */
void bh__sync_source_note_unresponsive(BH__SyncSource *s, uint64_t now_us)
{
	skip_source_(s, true, now_us);
	s->unresponsive_count++;
}

/* Records that the source has answered without fresh state. */
void bh__sync_source_note_stale(BH__SyncSource *s, uint64_t now_us)
{
	skip_source_(s, false, now_us);
	s->stale_count++;
	s->unresponsive_count = 0;
}

/* Returns true if the state of a source is young enough that the source need not be skipped. The limit of its
 * age is `max_age_us`, and about one reader's period (`period_us`) while this node searches for a reader,
 * because older state comes from a reader that has lost the platform. Without the shorter limit, nodes
 * repeatedly accepted the lost reader, and it took 3 s longer until all nodes had the state that one node had
 * read (virtual time, 85 nodes, 24 of them isolated). */
bool bh__sync_source_is_fresh_enough(const BH__SyncSource *s, uint64_t age_us, uint64_t max_age_us,
									 uint64_t period_us)
{
	return age_us < (bh__sync_source_is_platform_unavailable(s) ? MIN(max_age_us, period_us + READ_LATE_US_)
																: max_age_us);
}

/* Returns true if the source is another node, which this node has to ask. */
bool bh__sync_source_asks(const BH__SyncSource *s, const BH__Members *m)
{
	return s->node != bh__members_get_self(m)->node_id;
}

/* Returns true if this node reads the platform for others. It is the reader, or was until it recently skipped
 * itself because the platform did not answer it. */
bool bh__sync_source_reads(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us)
{
	uint64_t self = bh__members_get_self(m)->node_id;

	return s->node == self || is_skipped_(s, self, now_us);
}

/* Returns true if no peer answers, so that this node has to read the platform itself. */
bool bh__sync_source_is_isolated(const BH__SyncSource *s)
{
	return s->unresponsive_count >= UNRESPONSIVE_MAX_;
}

/* Returns true if peers answer and none of them has fresh state from the platform. */
bool bh__sync_source_is_platform_unavailable(const BH__SyncSource *s)
{
	return s->stale_count >= STALE_MAX_;
}

/* Returns true if a source must not hold a request for long: this node searches for a reader, or has just
 * found a new one. The hall relay that it asks may be isolated and never be notified of that reader. */
bool bh__sync_source_needs_short_hold(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us)
{
	return bh__sync_source_is_platform_unavailable(s) || is_new_reader_usable_(s, m, now_us);
}

/* Returns the time in microseconds until a node's own next platform read while the platform is unavailable.
 * It is drawn from an exponential distribution, so that all nodes together send `reads_per_s` reads at any
 * time. With a uniform distribution, 300 nodes sent half as many in the first minute. `draw` is the random
 * number to use, a new one for each call. When nodes took turns by a number drawn once, from the time of
 * their start, 295 nodes that had started within a millisecond all had the same turn in a cycle of 74 s, and
 * no node noticed for half a minute that the platform was back. */
uint64_t bh__sync_source_get_read_delay_us(const BH__Members *m, double reads_per_s, uint64_t draw)
{
	double mean_us = (double)bh__members_get_count(m) * (double)BH__SECOND_US / reads_per_s;
	double uniform = ((double)(draw >> 32) + 1) / ((double)UINT32_MAX + 1);

	return (uint64_t)(-log(uniform) * mean_us);
}
