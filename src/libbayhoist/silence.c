/* SPDX-License-Identifier: BSD-3-Clause */
/* Detection of an unresponsive node from requests that time out. */
#include "bayhoist/silence.h"

/* Resets the count of timed-out requests. Called when a message from the node arrives or another node takes
 * its place. */
void bh__silence_hear(BH__Silence *s)
{
	s->unanswered = 0;
	s->quiet_since_us = 0;
}

/* Records that a request to the node was abandoned without a response. Returns whether the node is to be
 * suspected now; if so, also resets the count. */
bool bh__silence_note_unanswered(BH__Silence *s, uint64_t now_us)
{
	if (s->unanswered++ == 0)
		s->quiet_since_us = now_us;
	if (s->unanswered < BH__SILENCE_QUESTIONS || now_us < s->quiet_since_us + BH__SILENCE_US)
		return false;
	bh__silence_hear(s);
	return true;
}
