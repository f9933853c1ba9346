/* SPDX-License-Identifier: BSD-3-Clause */
/* Bounds on what a node keeps for others. */
#include "bayhoist/room.h"

#include <glib.h>

/* Of a VM's memory; a request that is being sent is there twice, and the node's own tables take a third of
 * the smallest VMs. */
#define ANSWERS_SHARE_ 0.2
#define REQUESTS_SHARE_ 0.15
#define ANSWER_LEAST_ (8 * 1024) /* that any answer may have: a few events */

/* Returns how many bytes of an answer may wait for its caller, `max` at most, where a node has so many
 * connections: all of them together stay within a share of the memory. */
size_t bh__room_get_answer_max(const BH__Room *r, unsigned connections, size_t max)
{
	double share = (double)r->memory_bytes * ANSWERS_SHARE_ / MAX(connections, 1u);

	if (!r->memory_bytes || share >= (double)max)
		return max;
	return MAX((size_t)share, (size_t)ANSWER_LEAST_);
}

/* Keeps so much more of requests. Returns false, and counts that, if there is no room for it. */
bool bh__room_take_request(BH__Room *r, size_t len)
{
	double room = (double)r->memory_bytes * REQUESTS_SHARE_;

	if (r->memory_bytes && (double)(r->request_bytes + len) > room) {
		r->refusals++;
		return false;
	}
	r->request_bytes += len;
	return true;
}

/* So much of requests is not kept any more. */
void bh__room_return_request(BH__Room *r, size_t len)
{
	r->request_bytes -= MIN(r->request_bytes, len);
}
