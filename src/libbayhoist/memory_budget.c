/* SPDX-License-Identifier: BSD-3-Clause */
/* Limits on the memory that a node uses for buffered answers and requests. */
#include "bayhoist/memory_budget.h"

#include <glib.h>

/* Shares of the VM's memory. A request exists twice in memory while it is being sent, and the node's own
 * tables take a third of the memory of the smallest VMs. */
#define ANSWERS_SHARE_ 0.2
#define REQUESTS_SHARE_ 0.15
/* Bytes that any answer may buffer: enough for a few events, or for one where so many answers are possible
 * that the first would take more than MIN_SHARE_ of the budget. */
#define ANSWER_MIN_ (8 * 1024)
#define ANSWER_MIN_OF_MANY_ (4 * 1024)
#define MIN_SHARE_ 0.5 /* of the budget for answers that is set aside for these */

static double get_answer_min_(const BH__MemoryBudget *b);

/* Returns how many bytes any answer may buffer, however many there are. */
static double get_answer_min_(const BH__MemoryBudget *b)
{
	double aside = (double)b->memory_bytes * ANSWERS_SHARE_ * MIN_SHARE_;

	return CLAMP(aside / MAX(b->answers_max, 1u), ANSWER_MIN_OF_MANY_, ANSWER_MIN_);
}

/* Returns how many bytes one answer may buffer, at most `max`. Of the budget for answers, what the least of
 * `answers_max` answers takes is set aside, since answers that began while there were few may have filled
 * larger shares by the time that there are many. The rest, as long as it lasts, is divided evenly among the
 * node's `connections`. Returns `max` if the size of the VM's memory is unknown. */
size_t bh__memory_budget_get_answer_max(const BH__MemoryBudget *b, unsigned connections, size_t max)
{
	double least = get_answer_min_(b);
	double budget = (double)b->memory_bytes * ANSWERS_SHARE_;
	double rest = budget - (double)b->answer_bytes - MIN(least * b->answers_max, budget * MIN_SHARE_);

	if (!b->memory_bytes)
		return max;
	return MIN(max, (size_t)MAX(rest / MAX(connections, 1u), least));
}

/* Records that answers which wait (for callers, their ends or peers) have grown by `added` bytes and shrunk
 * by `removed`. */
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
