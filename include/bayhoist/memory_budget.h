/* SPDX-License-Identifier: BSD-3-Clause */
/* Memory budget of a node for buffered data: answers waiting for slow callers, and requests being received or
 * waiting for endpoints. The budget is a share of the VM's memory. */
#ifndef BAYHOIST_MEMORY_BUDGET_H
#define BAYHOIST_MEMORY_BUDGET_H

#include <stddef.h>
#include "bayhoist/types.h"

typedef struct {
	uint64_t memory_bytes;  /* memory of the VM; 0: unknown, no limits are applied */
	unsigned answers_max;   /* answers that may wait at the same time; 0: unknown */
	uint64_t answer_bytes;  /* bytes of answers that wait: for their callers, their ends, or peers */
	uint64_t request_bytes; /* memory reserved for buffered requests */
	uint64_t refusals;      /* requests refused because the budget was exhausted */
} BH__MemoryBudget;

void bh__memory_budget_note_answer(BH__MemoryBudget *b, size_t added, size_t removed);
size_t bh__memory_budget_get_answer_max(const BH__MemoryBudget *b, unsigned connections, size_t max);
bool bh__memory_budget_reserve_request(BH__MemoryBudget *b, size_t len);
void bh__memory_budget_release_request(BH__MemoryBudget *b, size_t len);

#endif
