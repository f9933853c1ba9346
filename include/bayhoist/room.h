/* SPDX-License-Identifier: BSD-3-Clause */
/* Memory budget of a node for buffered data: answers waiting for slow callers, and requests being received or
 * waiting for endpoints. The budget is a share of the VM's memory. */
#ifndef BAYHOIST_ROOM_H
#define BAYHOIST_ROOM_H

#include <stddef.h>
#include "bayhoist/types.h"

typedef struct {
	uint64_t memory_bytes;  /* memory of the VM; 0: unknown, no limits are applied */
	uint64_t request_bytes; /* memory reserved for buffered requests */
	uint64_t refusals;      /* requests refused because the budget was exhausted */
} BH__Room;

size_t bh__room_get_answer_max(const BH__Room *r, unsigned connections, size_t max);
bool bh__room_take_request(BH__Room *r, size_t len);
void bh__room_return_request(BH__Room *r, size_t len);

#endif
