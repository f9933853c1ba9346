/* SPDX-License-Identifier: BSD-3-Clause */
/* Ranges of the ring of node ids, and their split into subranges. */
#include "ring.h"

#include <glib.h>
#include "bayhoist/hash.h"

static unsigned count_nodes_(const BH__Ring *r, BH__RingRange range, unsigned *start);
static bool pick_live_(const BH__Ring *r, unsigned start, unsigned count, unsigned tree, unsigned *index);

/* Returns the range of all ids except `id`. */
BH__RingRange bh__ring_all_except(uint64_t id)
{
	return (BH__RingRange){.first = id + 1, .last = id - 1};
}

/* Returns the index of the first of `count` ascending ids that is not below `id`; `count` if all are below.
 */
unsigned bh__ring_find(const uint64_t *ids, unsigned count, uint64_t id)
{
	unsigned low = 0;
	unsigned high = count;

	while (low < high) {
		unsigned middle = (low + high) / 2;
		if (ids[middle] < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns how many nodes lie in a range, and stores the index of the first in `start`. */
static unsigned count_nodes_(const BH__Ring *r, BH__RingRange range, unsigned *start)
{
	unsigned end = bh__ring_find(r->id, r->count, range.last);

	*start = bh__ring_find(r->id, r->count, range.first);
	if (end < r->count && r->id[end] == range.last)
		end++;
	if (range.first <= range.last)
		return end - *start;
	return r->count - *start + end;
}

/* Finds a live node among the `count` nodes from index `start` on and stores its index; returns false if
 * there is none. The choice is the same each time, so that few connections are needed, and differs from tree
 * to tree. */
static bool pick_live_(const BH__Ring *r, unsigned start, unsigned count, unsigned tree, unsigned *index)
{
	unsigned first = start % r->count;
	unsigned last = (start + count - 1) % r->count;
	unsigned offset = (unsigned)((bh__hash_pair(r->id[first], r->id[last]) + tree) % count);

	for (unsigned i = 0; i < count; i++) {
		*index = (start + (offset + i) % count) % r->count;
		if (r->is_alive(r->ctx, r->id[*index]))
			return true;
	}
	return false;
}

/* Splits a range into subranges, each with a live node as its child; returns their number. Subranges without
 * a live node are left out. A message that is broadcast on several trees goes to different children on each.
 */
unsigned bh__ring_split(const BH__Ring *r, BH__RingRange range, unsigned tree,
						BH__RingChild out[BH__RING_FANOUT])
{
	unsigned start;
	unsigned count = count_nodes_(r, range, &start);
	unsigned subranges = MIN(count, BH__RING_FANOUT);
	unsigned children = 0;

	for (unsigned i = 0; i < subranges; i++) {
		unsigned from = count * i / subranges;
		unsigned to = count * (i + 1) / subranges;
		BH__RingChild *child = &out[children];
		if (!pick_live_(r, start + from, to - from, tree, &child->node_index))
			continue;
		child->subrange.first = r->id[(start + from) % r->count];
		child->subrange.last = r->id[(start + to - 1) % r->count];
		children++;
	}
	return children;
}
