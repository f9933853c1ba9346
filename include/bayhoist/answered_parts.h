/* SPDX-License-Identifier: BSD-3-Clause */
/* The parts of prompts on which this node has seen an answer begin, and when it last did. A part that crashes
 * whatever begins to answer it is never among them. Memory is bounded; what was seen longest ago is forgotten
 * first. The module does no I/O, and the caller supplies the time. */
#ifndef BAYHOIST_ANSWERED_PARTS_H
#define BAYHOIST_ANSWERED_PARTS_H

#include <stdbool.h>
#include "bayhoist/fingerprint.h"

typedef struct BH__AnsweredParts BH__AnsweredParts;

BH__AnsweredParts *bh__answered_parts_new(void);
void bh__answered_parts_delete(BH__AnsweredParts *a);
void bh__answered_parts_note(BH__AnsweredParts *a, const BH__Fingerprint *part, uint64_t now_us);
bool bh__answered_parts_has_since(const BH__AnsweredParts *a, const BH__Fingerprint *part, uint64_t since_us);
bool bh__answered_parts_take(BH__AnsweredParts *a, const BH__Fingerprint *part);
uint32_t bh__answered_parts_get_count(const BH__AnsweredParts *a);

#endif
