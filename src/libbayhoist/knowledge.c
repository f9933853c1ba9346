/* SPDX-License-Identifier: BSD-3-Clause */
/* Whether a node that starts is to keep the requests that it gets, or to refuse them. */
#include "bayhoist/knowledge.h"

#include <glib.h>
#include <string.h>

void bh__knowledge_init(BH__Knowledge *k, uint64_t now_us)
{
	memset(k, 0, sizeof *k);
	k->started_us = now_us;
}

/* The configuration was asked for; within `answer_us` that is answered or fails. */
void bh__knowledge_note_asked(BH__Knowledge *k, uint64_t answer_us, uint64_t now_us)
{
	k->asked_us = now_us;
	k->answer_us = answer_us;
}

/* The configuration was asked for in vain. */
void bh__knowledge_note_failed(BH__Knowledge *k)
{
	k->asked_us = 0;
}

static void note_(uint64_t *learnt_us, uint64_t now_us)
{
	if (!*learnt_us)
		*learnt_us = now_us;
}

void bh__knowledge_note_configuration(BH__Knowledge *k, uint64_t now_us)
{
	note_(&k->configuration_us, now_us);
}

void bh__knowledge_note_endpoints(BH__Knowledge *k, uint64_t now_us)
{
	note_(&k->endpoints_us, now_us);
}

/* The record of duties was read, or could not be: it is a hint. */
void bh__knowledge_note_duties(BH__Knowledge *k, uint64_t now_us)
{
	note_(&k->duties_us, now_us);
}

bool bh__knowledge_has_endpoints(const BH__Knowledge *k)
{
	return k->configuration_us && k->endpoints_us;
}

/* Returns until when requests are kept that come before all is known; in the past: they are refused.
 *
 * Just after the start they are kept in any case. Later the configuration alone may be missing, the largest
 * of the three: where all of 85 nodes start at once and read 400 kB each, the endpoints are there after 0.2 s
 * and the configuration after 0.5 s. A platform that has told the endpoints answers, so that its answer is
 * waited for. Without that, nodes that kept requests for 0.3 s refused 272 of one start. */
uint64_t bh__knowledge_get_wait_until_us(const BH__Knowledge *k)
{
	uint64_t until_us = k->started_us + BH__KNOWLEDGE_START_US;

	if (!k->configuration_us && k->endpoints_us && k->asked_us)
		until_us = MAX(until_us, k->asked_us + k->answer_us);
	return until_us;
}

BH__KnowledgeState bh__knowledge_get_state(const BH__Knowledge *k, uint64_t now_us)
{
	if (bh__knowledge_has_endpoints(k) && k->duties_us)
		return BH__KNOWLEDGE_WHOLE;
	return now_us < bh__knowledge_get_wait_until_us(k) ? BH__KNOWLEDGE_COMING : BH__KNOWLEDGE_MISSING;
}
