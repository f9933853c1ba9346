/* SPDX-License-Identifier: BSD-3-Clause */
/* A node that places a prompt by itself does not know what other nodes run on the engines. A short prompt
 * disturbs one engine at most. A long one is spread over many engines, and its parts lengthen iterations of
 * all of them beyond what their streams may pause. Its first-event target leaves time to repeat the ask
 * instead: a lost message or a short stall of the scheduler then costs the prompt a part of its own slack and
 * other callers nothing. */
#include "bayhoist/ask_timeout.h"

#include "placement.h"

/* Share of the first-event target that may pass in silence; of the deadline if the target has passed already.
 * The rest suffices to prefill the prompt once a scheduler answers, or on the node's own decision. */
#define SILENCE_SHARE_ 0.1

/* Returns the time in microseconds after which a node may place a prompt whose scheduler is silent. Prompts
 * of tight streams, whose targets are short, are never kept for more than one answer. */
uint64_t bh__ask_get_timeout_us(const BH__Ask *ask)
{
	bool is_late = ask->first_event_us == 1;
	uint64_t bearing_us = is_late ? ask->deadline_us : ask->first_event_us;

	if (bh__placement_is_tight(ask->event_gap_us))
		return BH__ASK_REPEAT_US;
	return MAX(BH__ASK_REPEAT_US, (uint64_t)((double)bearing_us * SILENCE_SHARE_));
}
