/* SPDX-License-Identifier: BSD-3-Clause */
/* The parts of a prompt that its caller names because other prompts may hold them too: instructions,
 * documents, earlier turns. A part has the same id in each prompt that holds it. */
#ifndef BAYHOIST_PROMPT_PARTS_H
#define BAYHOIST_PROMPT_PARTS_H

#include <glib.h>
#include "bayhoist/types.h"

#define BH__PROMPT_PARTS_MAX 64 /* parts of one prompt that are known here, the first ones */

typedef struct {
	uint32_t count;    /* valid entries of `id` */
	uint32_t unlisted; /* further parts, of which no id is kept */
	uint64_t id[BH__PROMPT_PARTS_MAX];
} BH__PromptParts;

void bh__prompt_parts_add(BH__PromptParts *p, uint64_t id);
void bh__prompt_parts_remove_last(BH__PromptParts *p);
void bh__prompt_parts_write(const BH__PromptParts *p, GString *out);

#endif
