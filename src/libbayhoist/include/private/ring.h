/* SPDX-License-Identifier: BSD-3-Clause */
/* How news goes from one node to all others. The ids of nodes lie on a ring. Whoever is to tell the nodes of
 * an arc cuts it into a few pieces and tells one node of each, which tells the rest of its piece. So no node
 * sends more than a few messages, however many there are, and a node needs to know just those of its arc. */
#ifndef BAYHOIST_PRIVATE_RING_H
#define BAYHOIST_PRIVATE_RING_H

#include "bayhoist/types.h"

#define BH__RING_FANOUT 16 /* pieces of an arc: three messages one after the other reach 4,000 nodes */

/* Ids from the first to the last, both of them included, round the ring. */
typedef struct {
	uint64_t first;
	uint64_t last;
} BH__Arc;

typedef struct {
	unsigned at;   /* index of the node that is told */
	BH__Arc piece; /* that it tells, itself left out */
} BH__RingStep;

typedef struct {
	const uint64_t *id; /* of all other nodes, in rising order */
	unsigned count;
	bool (*lives)(const void *ctx, uint64_t id); /* whether a node may be told, and tell others */
	const void *ctx;
} BH__Ring;

unsigned bh__ring_find(const uint64_t *ids, unsigned count, uint64_t id);
BH__Arc bh__ring_all_but(uint64_t id);
unsigned bh__ring_split(const BH__Ring *r, BH__Arc arc, unsigned way, BH__RingStep out[BH__RING_FANOUT]);

#endif
