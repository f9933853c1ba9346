/* SPDX-License-Identifier: BSD-3-Clause */
/* The parts of a prompt, in order. */
#include "bayhoist/prompt_parts.h"

#define WRITTEN_MAX_ 8 /* ids in a text, so that a log line stays short */

/* Appends a part. Beyond BH__PROMPT_PARTS_MAX parts, they are only counted. */
void bh__prompt_parts_add(BH__PromptParts *p, uint64_t id)
{
	if (p->count < BH__PROMPT_PARTS_MAX)
		p->id[p->count++] = id;
	else
		p->unlisted++;
}

/* Removes the last part, if there is one. */
void bh__prompt_parts_remove_last(BH__PromptParts *p)
{
	if (p->unlisted)
		p->unlisted--;
	else if (p->count)
		p->count--;
}

/* Appends the ids in hexadecimal, separated by commas, to `out`; after the first ones only how many more
 * there are, as "+N". */
void bh__prompt_parts_write(const BH__PromptParts *p, GString *out)
{
	uint32_t written = MIN(p->count, WRITTEN_MAX_);
	uint32_t more = p->count - written + p->unlisted;

	for (uint32_t i = 0; i < written; i++)
		g_string_append_printf(out, "%s%" G_GINT64_MODIFIER "x", i ? "," : "", p->id[i]);
	if (more)
		g_string_append_printf(out, ",+%u", more);
}
