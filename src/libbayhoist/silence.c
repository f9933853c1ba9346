/* SPDX-License-Identifier: BSD-3-Clause */
/* Suspicion of a node from the questions that it leaves unanswered. */
#include "bayhoist/silence.h"

/* The node was heard from, or another takes its place: the count begins again. */
void bh__silence_hear(BH__Silence *s)
{
	s->unanswered = 0;
	s->quiet_since_us = 0;
}

/* A question to the node was given up. Returns whether the node is to be suspected now; the count then begins
 * again. */
bool bh__silence_note_unanswered(BH__Silence *s, uint64_t now_us)
{
	if (s->unanswered++ == 0)
		s->quiet_since_us = now_us;
	if (s->unanswered < BH__SILENCE_QUESTIONS || now_us < s->quiet_since_us + BH__SILENCE_US)
		return false;
	bh__silence_hear(s);
	return true;
}
