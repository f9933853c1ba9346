/* SPDX-License-Identifier: BSD-3-Clause */
/* What a node that starts must know before it can judge a request: the configuration, the endpoints, and who
 * does which duty. Each is read from the platform or told by another node. */
#ifndef BAYHOIST_KNOWLEDGE_H
#define BAYHOIST_KNOWLEDGE_H

#include "bayhoist/types.h"

/* For which a node that starts keeps requests without a word from anybody: as long as it would tell their
 * callers to stay away, since nobody else knows more when all start. Where the store came back 0.45 s after a
 * start of all, 97 requests that were refused after 0.3 s came back into the rush of the others. */
#define BH__KNOWLEDGE_START_US BH__SECOND_US

typedef enum {
	BH__KNOWLEDGE_WHOLE,  /* all is known */
	BH__KNOWLEDGE_COMING, /* something is not, and is on its way */
	BH__KNOWLEDGE_MISSING /* something is not, and nothing says that it will be soon */
} BH__KnowledgeState;

typedef struct {
	uint64_t started_us;       /* start of the node */
	uint64_t configuration_us; /* when each was learnt first; 0: it was not */
	uint64_t endpoints_us;
	uint64_t duties_us;
	uint64_t asked_us;  /* when the configuration was last asked for; 0: it was not, or that has failed */
	uint64_t answer_us; /* within which that is answered or fails */
} BH__Knowledge;

void bh__knowledge_init(BH__Knowledge *k, uint64_t now_us);
void bh__knowledge_note_asked(BH__Knowledge *k, uint64_t answer_us, uint64_t now_us);
void bh__knowledge_note_failed(BH__Knowledge *k);
void bh__knowledge_note_configuration(BH__Knowledge *k, uint64_t now_us);
void bh__knowledge_note_endpoints(BH__Knowledge *k, uint64_t now_us);
void bh__knowledge_note_duties(BH__Knowledge *k, uint64_t now_us);
BH__KnowledgeState bh__knowledge_get_state(const BH__Knowledge *k, uint64_t now_us);
uint64_t bh__knowledge_get_wait_until_us(const BH__Knowledge *k);
bool bh__knowledge_has_endpoints(const BH__Knowledge *k);

#endif
