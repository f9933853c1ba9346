/* SPDX-License-Identifier: BSD-3-Clause */
/* The broadcast tree over the ring of node ids. A node that is to notify a range of the ring splits it into a
 * few subranges and sends to one node of each, its child, which forwards to the rest of its subrange. No node
 * sends more than a few messages, however many nodes there are, and a node needs to know only those of its
 * own range. */
#ifndef BAYHOIST_PRIVATE_RING_H
#define BAYHOIST_PRIVATE_RING_H

#include "bayhoist/types.h"

#define BH__RING_FANOUT 16 /* subranges of a range; three levels of the tree reach 4,000 nodes */

/* A range of ids on the ring, both ends included; it wraps around if `first` is above `last`. */
typedef struct {
	uint64_t first;
	uint64_t last;
} BH__RingRange;

/* A node to send to and the part of the range that it covers. */
typedef struct {
	unsigned node_index;    /* of the child, in BH__Ring.id */
	BH__RingRange subrange; /* the child forwards to these nodes, except itself */
} BH__RingChild;

/* The ring as one node sees it. */
typedef struct {
	const uint64_t *id;                             /* node ids of all other nodes, ascending */
	unsigned count;                                 /* of `id` */
	bool (*is_alive)(const void *ctx, uint64_t id); /* whether a node can receive and forward a message */
	const void *ctx;                                /* passed to is_alive */
} BH__Ring;

unsigned bh__ring_find(const uint64_t *ids, unsigned count, uint64_t id);
BH__RingRange bh__ring_all_except(uint64_t id);
unsigned bh__ring_split(const BH__Ring *r, BH__RingRange range, unsigned tree,
						BH__RingChild out[BH__RING_FANOUT]);

#endif
