/* SPDX-License-Identifier: BSD-3-Clause */
/* Limits on the memory that a node uses for buffered answers and requests. */
#include "bayhoist/memory_budget.h"

#include <glib.h>

/* Shares of the VM's memory. A request exists twice in memory while it is being sent, and the node's own
 * tables take a third of the memory of the smallest VMs. */
#define ANSWERS_SHARE_ 0.2
#define REQUESTS_SHARE_ 0.15
#define ANSWER_MIN_ (8 * 1024) /* bytes that any answer may buffer: enough for a few events */

/* Returns how many bytes one answer may buffer for its caller, at most `max`. The budget for answers is
 * divided evenly among the node's `connections`, except that every answer gets at least ANSWER_MIN_ bytes.
 * Once the budget is used up, no answer gets more than that, since connections that opened
 * earlier, while there were few, may have filled larger shares. Returns `max` if the size of the VM's memory
 * is unknown. */
size_t bh__memory_budget_get_answer_max(const BH__MemoryBudget *b, unsigned connections, size_t max)
{
	double budget = (double)b->memory_bytes * ANSWERS_SHARE_;
	double share = (double)b->answer_bytes < budget ? budget / MAX(connections, 1u) : 0;

	if (!b->memory_bytes || share >= (double)max)
		return max;
	return MAX((size_t)share, (size_t)ANSWER_MIN_);
}

/* Records that answers which wait for their callers have grown by `added` bytes and shrunk by `removed`. */
void bh__memory_budget_note_answer(BH__MemoryBudget *b, size_t added, size_t removed)
{
	b->answer_bytes += added;
	b->answer_bytes -= MIN(b->answer_bytes, removed);
}

/* Reserves `len` bytes for a request. Returns false and counts a refusal if that would exceed the budget for
 * requests; always succeeds if the size of the VM's memory is unknown. */
bool bh__memory_budget_reserve_request(BH__MemoryBudget *b, size_t len)
{
	double budget = (double)b->memory_bytes * REQUESTS_SHARE_;

	if (b->memory_bytes && (double)(b->request_bytes + len) > budget) {
		b->refusals++;
		return false;
	}
	b->request_bytes += len;
	return true;
}

/* Returns `len` reserved bytes to the budget. */
void bh__memory_budget_release_request(BH__MemoryBudget *b, size_t len)
{
	b->request_bytes -= MIN(b->request_bytes, len);
}
