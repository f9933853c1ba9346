/* SPDX-License-Identifier: BSD-3-Clause */
/* How much of its VM's memory a node keeps for others: answers that wait for callers which read slowly, and
 * requests that are read or wait for endpoints. */
#ifndef BAYHOIST_ROOM_H
#define BAYHOIST_ROOM_H

#include <stddef.h>
#include "bayhoist/types.h"

typedef struct {
	uint64_t memory_bytes;  /* of the VM; 0: not known, and nothing is bounded here */
	uint64_t request_bytes; /* of requests that are kept */
	uint64_t refusals;      /* of requests for which there was no room */
} BH__Room;

size_t bh__room_get_answer_max(const BH__Room *r, unsigned connections, size_t max);
bool bh__room_take_request(BH__Room *r, size_t len);
void bh__room_return_request(BH__Room *r, size_t len);

#endif
