/* SPDX-License-Identifier: BSD-3-Clause */
/* The queue of the asks that wait in a pool. It has two lanes, for short and for long prompts, each in
 * weighted fair order over client accounts. */
#ifndef BAYHOIST_PRIVATE_QUEUE_H
#define BAYHOIST_PRIVATE_QUEUE_H

#include "bayhoist/message.h"

typedef enum { BH__LANE_SHORT, BH__LANE_LONG, BH__LANE_COUNT } BH__Lane;

/* An ask that waits. */
typedef struct {
	BH__Ask ask;
	BH__Lane lane;
	uint64_t work_tokens; /* prompt tokens plus the maximum answer tokens */
	uint64_t arrived_us;
	uint64_t latest_start_us;     /* a grant after this time cannot finish before the deadline */
	double start_tag;             /* virtual time at which its service starts, in tokens divided by weight */
	double finish_tag;            /* start tag plus work divided by weight */
	GSequenceIter *order_iter;    /* position in its lane */
	GSequenceIter *deadline_iter; /* position among the entries of all lanes by latest start */
} BH__QueueEntry;

typedef struct BH__Queue BH__Queue;

BH__Queue *bh__queue_new(void);
void bh__queue_delete(BH__Queue *q);
BH__QueueEntry *bh__queue_push(BH__Queue *q, const BH__Ask *ask, BH__Lane lane, uint64_t latest_start_us,
							   uint64_t now_us);
void bh__queue_charge(BH__Queue *q, const BH__QueueEntry *e);
void bh__queue_remove(BH__Queue *q, BH__QueueEntry *e);
BH__QueueEntry *bh__queue_find(const BH__Queue *q, uint64_t ask_id);
BH__QueueEntry *bh__queue_get_first(const BH__Queue *q, BH__Lane lane);
BH__QueueEntry *bh__queue_get_next(const BH__QueueEntry *e);
BH__QueueEntry *bh__queue_get_expired(const BH__Queue *q, uint64_t now_us);
uint32_t bh__queue_get_count(const BH__Queue *q, BH__Lane lane);
uint64_t bh__queue_get_work(const BH__Queue *q, BH__Lane lane);

#endif
