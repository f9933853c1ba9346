/* SPDX-License-Identifier: BSD-3-Clause */
/* Arcs of the ring of nodes' ids. */
#include "ring.h"

#include <glib.h>
#include "bayhoist/hash.h"

static unsigned count_(const BH__Ring *r, BH__Arc arc, unsigned *start);
static bool pick_(const BH__Ring *r, unsigned start, unsigned count, unsigned way, unsigned *at);

/* Returns the arc of all ids but one. */
BH__Arc bh__ring_all_but(uint64_t id)
{
	return (BH__Arc){.first = id + 1, .last = id - 1};
}

/* Returns the index of the first of `count` ids in rising order that is not below `id`. */
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

/* Returns how many nodes lie in an arc, and the index of the first. */
static unsigned count_(const BH__Ring *r, BH__Arc arc, unsigned *start)
{
	unsigned end = bh__ring_find(r->id, r->count, arc.last);

	*start = bh__ring_find(r->id, r->count, arc.first);
	if (end < r->count && r->id[end] == arc.last)
		end++;
	if (arc.first <= arc.last)
		return end - *start;
	return r->count - *start + end;
}

/* Finds a node that lives among `count` from `start` on: the same each time, so that few connections are
 * needed, and another one for each way. */
static bool pick_(const BH__Ring *r, unsigned start, unsigned count, unsigned way, unsigned *at)
{
	unsigned first = start % r->count;
	unsigned last = (start + count - 1) % r->count;
	unsigned offset = (unsigned)((bh__hash_pair(r->id[first], r->id[last]) + way) % count);

	for (unsigned i = 0; i < count; i++) {
		*at = (start + (offset + i) % count) % r->count;
		if (r->lives(r->ctx, r->id[*at]))
			return true;
	}
	return false;
}

/* Cuts an arc into pieces, each with a node that lives; returns their number. Pieces where none lives are
 * left out. News that goes several ways is told to other nodes on each. */
unsigned bh__ring_split(const BH__Ring *r, BH__Arc arc, unsigned way, BH__RingStep out[BH__RING_FANOUT])
{
	unsigned start;
	unsigned count = count_(r, arc, &start);
	unsigned pieces = MIN(count, BH__RING_FANOUT);
	unsigned steps = 0;

	for (unsigned i = 0; i < pieces; i++) {
		unsigned from = count * i / pieces;
		unsigned to = count * (i + 1) / pieces;
		BH__RingStep *s = &out[steps];
		if (!pick_(r, start + from, to - from, way, &s->at))
			continue;
		s->piece.first = r->id[(start + from) % r->count];
		s->piece.last = r->id[(start + to - 1) % r->count];
		steps++;
	}
	return steps;
}
