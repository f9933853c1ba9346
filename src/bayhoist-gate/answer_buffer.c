/* SPDX-License-Identifier: BSD-3-Clause */
/* What a node keeps of answers that wait for callers, their ends or peers: all of it is counted against the
 * VM's memory (bayhoist/memory_budget.h), and each answer has a share of that. */
#include "gate.h"

#include <event2/buffer.h>

static void on_answer_changed_(struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *gate);

/* Counts what `buffer` holds as bytes of answers that wait, from now on. */
void answer_buffer_count(Gate *g, struct evbuffer *buffer)
{
	bh__memory_budget_note_answer(&g->memory_budget, evbuffer_get_length(buffer), 0);
	evbuffer_add_cb(buffer, on_answer_changed_, g);
}

/* Counts a buffer no more, which is to be done before it is freed. */
void answer_buffer_stop_counting(Gate *g, struct evbuffer *buffer)
{
	evbuffer_remove_cb(buffer, on_answer_changed_, g);
	bh__memory_budget_note_answer(&g->memory_budget, 0, evbuffer_get_length(buffer));
}

/* Callback of a counted buffer. */
static void on_answer_changed_(struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *gate)
{
	(void)buffer;
	bh__memory_budget_note_answer(&((Gate *)gate)->memory_budget, info->n_added, info->n_deleted);
}

/* Returns the number of buffered bytes of one answer at which reading it pauses: one more read fits under the
 * memory budget then, and under `max`. */
size_t answer_buffer_get_max(const Gate *g, size_t max)
{
	size_t all = bh__memory_budget_get_answer_max(&g->memory_budget, g_hash_table_size(g->inbounds), max);

	return all - MIN((size_t)ANSWER_BUFFER_READ_MAX, all / 2);
}

/* Returns the maximum number of bytes of one read, which is what answer_buffer_get_max() leaves room for. */
size_t answer_buffer_get_read_max(const Gate *g)
{
	return bh__memory_budget_get_answer_max(&g->memory_budget, g_hash_table_size(g->inbounds),
											2 * ANSWER_BUFFER_READ_MAX) /
		   2;
}
